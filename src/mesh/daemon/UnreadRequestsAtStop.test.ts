/** Requests that arrived before a port is closed, but that the process has not read yet, still get a response. */
import { expect } from 'chai'
import { Registry } from 'prom-client'
import { MessageFormat } from '../../../platform/MessageFormat.js'
import { findFreePorts } from '../../../testing/demonstration/FreePorts.js'
import { sendAndWait } from '../../../testing/mesh/WaitingClients.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { ClockService } from '../../common/ClockService.js'
import { toDisposable } from '../../common/Disposable.js'
import type { EndpointId, NetworkAddress, RequestId, RouteName, ServiceName, Timestamp } from '../../common/Types.js'
import { CallerPort, type ICallerPortOptions } from '../calls/CallerPort.js'
import type { EndpointGate } from '../endpoint/EndpointGate.js'
import { GateServer } from '../endpoint/GateServer.js'
import { encodeCall } from '../exchange/CallCodec.js'
import { RequestBodyBudget } from '../exchange/RequestBodyBudget.js'
import type { AttemptOutcome } from '../Types.js'

/** More connections than one event loop iteration accepts. */
const CLIENTS = 12

describe('Requests that are unread in the receive buffer when a port is closed', () => {
  const common = { clock: new ClockService(), log: new RecordingLog(), format: new MessageFormat() }
  let port: number
  let address: NetworkAddress

  beforeEach(async () => {
    [port] = await findFreePorts(1) as [number]
    address = `127.0.0.1:${port}` as NetworkAddress
  })

  /** Response statuses of requests that are unread when `server` is closed; undefined for a connection that closed without a response. */
  async function statusesOfUnread (server: CallerPort | GateServer, fields: readonly string[]): Promise<ReadonlyArray<string | undefined>> {
    await server.start()
    const requests = Array.from({ length: CLIENTS }, (_, number) => ({ method: 'POST', path: '/', id: `unread-${number}`, body: 'body', fields }))
    const received = sendAndWait(port, requests)
    await server.stop()
    return (await received).map((text) => /^HTTP\/1\.1 (\d+)/.exec(text)?.[1])
  }

  it('get a response 503 from the port for callers', async () => {
    const callers = new CallerPort({
      ...common,
      address,
      configuration: { current: undefined, onReplaced: () => toDisposable(() => undefined) },
      metrics: { registry: new Registry() },
      isReady: () => false
    } as unknown as ICallerPortOptions)
    expect(await statusesOfUnread(callers, [])).to.deep.equal(Array.from({ length: CLIENTS }, () => '503'))
  })

  it('get a response 503 from the port for other nodes', async () => {
    const gate = { execute: async (): Promise<AttemptOutcome> => ({ kind: 'refused', reason: 'draining' }) } as unknown as EndpointGate
    const server = new GateServer({ ...common, address, gate, processToken: 'one', requestBodies: new RequestBodyBudget() })
    expect(await statusesOfUnread(server, callFields(common.clock.now()))).to.deep.equal(Array.from({ length: CLIENTS }, () => '503'))
  })
})

/** Header fields that another node adds to a call. */
function callFields (now: Timestamp): readonly string[] {
  return encodeCall({
    requestId: 'r' as RequestId,
    callerRequestId: undefined,
    route: 'route' as RouteName,
    service: 's' as ServiceName,
    endpoint: 'e' as EndpointId,
    callerService: 'caller',
    repeat: 'non-idempotent',
    rank: 0,
    objectiveAt: now + 1_000 as Timestamp,
    deadlineAt: now + 5_000 as Timestamp,
    method: 'POST',
    path: '/',
    fields: [],
    body: undefined
  }, now)
}
