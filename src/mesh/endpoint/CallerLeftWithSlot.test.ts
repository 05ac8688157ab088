/** A slot that becomes free in the turn of the event loop that also reads that the next request's caller has left. */
import { expect } from 'chai'
import { CancellationSource, NO_CANCELLATION, type ICancellation } from '../../common/Cancellation.js'
import { ClockService } from '../../common/ClockService.js'
import { InvariantService } from '../../common/InvariantService.js'
import { MetricsService } from '../../common/MetricsService.js'
import type { EndpointId, Milliseconds, NetworkAddress, RequestId, ServiceName } from '../../common/Types.js'
import { MessageFormat } from '../../../platform/MessageFormat.js'
import { EndpointStandIn } from '../../../testing/mesh/EndpointStandIn.js'
import { meshCall } from '../../../testing/mesh/MeshCalls.js'
import { until } from '../../../testing/mesh/MeshRig.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import type { IConfigurationService } from '../Services.js'
import type { AttemptOutcome, RepeatKind } from '../Types.js'
import { EndpointGate } from './EndpointGate.js'
import { LocalEndpoint } from './LocalEndpoint.js'

/** So long that the other requests wait in line when the first one ends. */
const WORK_MS = 100

describe('A caller whose leaving is read right behind the answer that frees a slot for its request', () => {
  const clock = new ClockService()
  let endpoint: EndpointStandIn
  let gate: EndpointGate

  beforeEach(async () => {
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
      slots: 1,
      warmUpLeft: 0 as Milliseconds
    }, clock.now())
  })

  afterEach(() => {
    gate.dispose()
    endpoint.stop()
  })

  function execute (id: string, cancellation: ICancellation, repeat: RepeatKind = 'idempotent'): Promise<AttemptOutcome> {
    return gate.execute(meshCall(repeat, clock.now(), { requestId: id as RequestId, callerRequestId: undefined, path: `/${id}` }), cancellation)
  }

  for (const repeat of ['idempotent', 'non-idempotent'] as const) {
    it(`has nothing sent for it: ${repeat}`, async () => {
      const left = new CancellationSource()
      const first = execute('first', NO_CANCELLATION)
      await until(() => endpoint.runs.length === 1)
      const second = execute('second', left, repeat)
      const third = execute('third', NO_CANCELLATION)
      // Comes in the same turn, behind what the answer has caused.
      await first.then(() => setImmediate(() => left.cancel()))
      const outcomes = await Promise.all([second, third])
      expect(endpoint.runs.map(({ path }) => path)).to.deep.equal(['/first', '/third'])
      expect(outcomes.map((outcome) => outcome.kind === 'refused' ? outcome.reason : outcome.kind)).to.deep.equal(['cancelled', 'answered'])
    })
  }
})
