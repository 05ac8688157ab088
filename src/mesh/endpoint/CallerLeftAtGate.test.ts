/** A caller that leaves while its request has a slot and waits for a connection to the endpoint. */
import { expect } from 'chai'
import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'
import { CancellationSource, NO_CANCELLATION, type ICancellation } from '../../common/Cancellation.js'
import { InvariantService } from '../../common/InvariantService.js'
import { MetricsService } from '../../common/MetricsService.js'
import type { EndpointId, Milliseconds, NetworkAddress, RequestId, ServiceName } from '../../common/Types.js'
import { MessageFormat } from '../../../platform/MessageFormat.js'
import { HeldClock } from '../../../testing/HeldClock.js'
import { EndpointStandIn } from '../../../testing/mesh/EndpointStandIn.js'
import { meshCall } from '../../../testing/mesh/MeshCalls.js'
import { until } from '../../../testing/mesh/MeshRig.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import type { IConfigurationService } from '../Services.js'
import type { AttemptOutcome, RepeatKind } from '../Types.js'
import { EndpointGate } from './EndpointGate.js'
import { LocalEndpoint } from './LocalEndpoint.js'

/** Channel on which Node.js tells of each socket that is about to connect. */
const SOCKET_CHANNEL = 'net.client.socket'
/** So long that the first request has its connection until the other ones have ended. */
const WORK_MS = 300

describe('A caller that leaves while a connection to the endpoint is opened', () => {
  let clock: HeldClock
  let endpoint: EndpointStandIn
  let gate: EndpointGate

  beforeEach(async () => {
    clock = new HeldClock()
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

  function execute (id: string, cancellation: ICancellation, repeat: RepeatKind = 'idempotent'): Promise<AttemptOutcome> {
    return gate.execute(meshCall(repeat, clock.now(), { requestId: id as RequestId, callerRequestId: undefined, path: `/${id}` }), cancellation)
  }

  for (const repeat of ['idempotent', 'non-idempotent'] as const) {
    it(`has nothing sent for it afterwards: ${repeat}`, async () => {
      const left = new CancellationSource()
      const first = execute('first', NO_CANCELLATION)
      await until(() => endpoint.runs.length === 1)
      const second = execute('second', left, repeat)
      left.cancel()
      const third = execute('third', NO_CANCELLATION)
      clock.letGo()
      const outcomes = await Promise.all([first, second, third])
      expect(endpoint.runs.map(({ path }) => path)).to.deep.equal(['/first', '/third'])
      expect(outcomes.map((outcome) => outcome.kind === 'refused' ? outcome.reason : outcome.kind)).to.deep.equal(['answered', 'cancelled', 'answered'])
    })

    it(`has nothing sent for it if its leaving is read in the turn in which the connection opens: ${repeat}`, async () => {
      const left = new CancellationSource()
      const leaveWhenOpen = (message: unknown): void => {
        // Comes in the same turn, behind what the opening has caused.
        (message as { socket: Socket }).socket.once('connect', () => setImmediate(() => left.cancel()))
      }
      subscribe(SOCKET_CHANNEL, leaveWhenOpen)
      const outcome = await execute('second', left, repeat)
      unsubscribe(SOCKET_CHANNEL, leaveWhenOpen)
      clock.letGo()
      await execute('third', NO_CANCELLATION)
      expect(endpoint.runs.map(({ path }) => path)).to.deep.equal(['/third'])
      expect(outcome).to.deep.include({ kind: 'refused', reason: 'cancelled' })
    })
  }
})
