/**
 * Guards against sending a request to another node after its caller has disconnected while the node was waiting for a connection to the
 * other node.
 */
import { expect } from 'chai'
import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { CancellationSource, NO_CANCELLATION, type ICancellation } from '../../common/Cancellation.js'
import type { Milliseconds, NetworkAddress } from '../../common/Types.js'
import { HeldClock } from '../../../testing/HeldClock.js'
import { meshCall } from '../../../testing/mesh/MeshCalls.js'
import { until } from '../../../testing/mesh/MeshRig.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { NODE_HEADER } from '../exchange/CallCodec.js'
import type { IProbeResponse, NodeQueries } from '../exchange/NodeQueries.js'
import type { NodeName, Idempotency } from '../Types.js'
import { AbortableAttempt } from './ParallelAttempts.js'
import { RemoteNode } from './RemoteNode.js'

const EXPECTED = 1_000 as Milliseconds

describe('A caller that disconnects while its request waits for a connection to another node', () => {
  let clock: HeldClock
  let server: Server
  let node: RemoteNode
  /** Paths of the requests that the other node received. */
  let received: string[]
  /** Response to the first request, which is still outstanding. */
  let firstResponse: ServerResponse | undefined

  beforeEach(async () => {
    clock = new HeldClock()
    received = []
    firstResponse = undefined
    server = createServer((request, response) => {
      received.push(request.url ?? '')
      if (received.length === 1) firstResponse = response
      else respond(response)
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const { port } = server.address() as AddressInfo
    const probeOnConnection = async (): Promise<IProbeResponse> => ({ load: undefined, processToken: 'one' })
    const queries = { settle: async () => undefined, probe: async () => undefined, probeOnConnection } as unknown as NodeQueries
    node = new RemoteNode({
      name: 'n' as NodeName, address: `127.0.0.1:${port}` as NetworkAddress, queries, clock, log: new RecordingLog(), onLoad: () => undefined
    })
  })

  afterEach(() => {
    node.dispose()
    server.close()
    server.closeAllConnections()
  })

  /**
   * The only connection is busy, so that `second` waits until the clock lets further connections open; its caller disconnects before.
   * Returns the paths of the received requests.
   */
  async function disconnectWaiting (repeat: Idempotency, cancellation: ICancellation, disconnect: () => void): Promise<readonly string[]> {
    const first = node.execute(meshCall('idempotent', clock.now(), { path: '/first' }), EXPECTED, NO_CANCELLATION)
    await until(() => firstResponse !== undefined)
    const second = node.execute(meshCall(repeat, clock.now(), { path: '/second' }), EXPECTED, cancellation)
    disconnect()
    const third = node.execute(meshCall('idempotent', clock.now(), { path: '/third' }), EXPECTED, NO_CANCELLATION)
    clock.release()
    // Connections are assigned in the order of waiting, so `second` would have been sent before `third`.
    await third
    if (firstResponse !== undefined) respond(firstResponse)
    await Promise.all([first, second])
    return received
  }

  for (const repeat of ['idempotent', 'non-idempotent'] as const) {
    it(`causes no request to be sent afterwards: ${repeat}`, async () => {
      const cancellation = new CancellationSource()
      expect(await disconnectWaiting(repeat, cancellation, () => cancellation.cancel())).to.deep.equal(['/first', '/third'])
    })
  }

  for (const repeat of ['idempotent', 'non-idempotent'] as const) {
    it(`causes no request on a connection that becomes free in the event loop iteration that reads the disconnect: ${repeat}`, async () => {
      let isClosed = false
      // The state of a connection changes before its event is emitted.
      const cancellation: ICancellation = { get isCancelled () { return isClosed }, onCancelled: () => ({ dispose: () => undefined }) }
      const first = node.execute(meshCall('idempotent', clock.now(), { path: '/first' }), EXPECTED, NO_CANCELLATION)
      await until(() => firstResponse !== undefined)
      const second = node.execute(meshCall(repeat, clock.now(), { path: '/second' }), EXPECTED, cancellation)
      if (firstResponse !== undefined) respond(firstResponse)
      // Runs in the same event loop iteration, after the callbacks of the response.
      await first.then(() => setImmediate(() => { isClosed = true }))
      await second
      await node.execute(meshCall('idempotent', clock.now(), { path: '/third' }), EXPECTED, NO_CANCELLATION)
      expect(received).to.deep.equal(['/first', '/third'])
    })
  }

  it('is handled like an attempt aborted because a parallel attempt has finished: no request is sent afterwards', async () => {
    const attempt = new AbortableAttempt(NO_CANCELLATION)
    expect(await disconnectWaiting('idempotent', attempt, () => attempt.abort())).to.deep.equal(['/first', '/third'])
  })
})

function respond (response: ServerResponse): void {
  response.writeHead(200, { [NODE_HEADER.outcome]: 'answered' }).end()
}
