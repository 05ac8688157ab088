/** A request that has a slot, and whose connection to the endpoint does not open before its deadline. */
import { expect } from 'chai'
import { NO_CANCELLATION } from '../../common/Cancellation.js'
import { InvariantService } from '../../common/InvariantService.js'
import { MetricsService } from '../../common/MetricsService.js'
import type { EndpointId, Milliseconds, NetworkAddress, RequestId, ServiceName, Timestamp } from '../../common/Types.js'
import { MessageFormat } from '../../../platform/MessageFormat.js'
import { HeldClock } from '../../../testing/HeldClock.js'
import { EndpointStandIn } from '../../../testing/mesh/EndpointStandIn.js'
import { meshCall } from '../../../testing/mesh/MeshCalls.js'
import { until } from '../../../testing/mesh/MeshRig.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import type { IConfigurationService } from '../Services.js'
import type { AttemptOutcome } from '../Types.js'
import { EndpointGate } from './EndpointGate.js'
import { LocalEndpoint } from './LocalEndpoint.js'

/** Longer than the deadline of the request that waits for a connection. */
const WORK_MS = 600
const PATIENCE_MS = 100

describe('A request whose connection to the endpoint opens too late', () => {
  let clock: HeldClock
  let endpoint: EndpointStandIn
  let gate: EndpointGate
  let ended: string[]

  beforeEach(async () => {
    clock = new HeldClock()
    ended = []
    endpoint = new EndpointStandIn('e')
    endpoint.workTimeOf = (path) => path === '/first' ? WORK_MS : 0
    await endpoint.start()
    const log = new RecordingLog()
    const metrics = new MetricsService()
    const local = new LocalEndpoint(log)
    const configuration = { current: undefined } as unknown as IConfigurationService
    gate = new EndpointGate({
      endpoint: local, configuration, format: new MessageFormat(), clock, log, metrics, invariants: new InvariantService({ log, metrics })
    })
    local.report({
      id: 'e' as EndpointId,
      bornAt: 1,
      sequence: 1,
      phase: 'serving',
      service: 's' as ServiceName,
      address: endpoint.address as NetworkAddress,
      slots: 4,
      warmUpLeft: 0 as Milliseconds
    }, clock.now())
  })

  afterEach(() => {
    gate.dispose()
    endpoint.stop()
  })

  async function execute (id: string, patience: number): Promise<AttemptOutcome> {
    const now = clock.now()
    const parts = {
      requestId: id as RequestId,
      callerRequestId: undefined,
      path: `/${id}`,
      objectiveAt: now + patience / 2 as Timestamp,
      deadlineAt: now + patience as Timestamp
    }
    const outcome = await gate.execute(meshCall('idempotent', now, parts), NO_CANCELLATION)
    ended.push(outcome.kind === 'refused' ? `${id} ${outcome.reason}` : `${id} ${outcome.kind}`)
    return outcome
  }

  it('is refused at its deadline, frees its slot, and is not sent later', async () => {
    const first = execute('first', WORK_MS * 5)
    await until(() => endpoint.runs.length === 1)
    const late = execute('late', PATIENCE_MS)
    await first
    clock.letGo()
    await late
    await execute('next', WORK_MS * 5)
    expect([ended, endpoint.runs.map(({ path }) => path)]).to.deep.equal([
      ['late deadline', 'first answered', 'next answered'], ['/first', '/next']
    ])
  })

  it('does not make the endpoint count as unreachable', async () => {
    const first = execute('first', WORK_MS * 5)
    await until(() => endpoint.runs.length === 1)
    const late = execute('late', PATIENCE_MS)
    await late.then(() => clock.letGo(), () => undefined)
    const [, next] = await Promise.all([first, execute('next', WORK_MS * 5)])
    expect([next.kind, next.load?.failurePercent]).to.deep.equal(['answered', 0])
  })
})
