/** A caller that leaves while its node has not sent the request yet. */
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
import { INNER_HEADER } from '../exchange/CallCodec.js'
import type { IProbeAnswer, NodeQuestions } from '../exchange/NodeQuestions.js'
import type { NodeName, RepeatKind } from '../Types.js'
import { AbortableAttempt } from './ParallelAttempts.js'
import { RemoteNode } from './RemoteNode.js'

const EXPECTED = 1_000 as Milliseconds

describe('A caller that leaves while a connection to the other node is opened', () => {
  let clock: HeldClock
  let server: Server
  let node: RemoteNode
  /** Paths of the requests that came to the other node. */
  let came: string[]
  /** The first one is not answered yet. */
  let firstAnswer: ServerResponse | undefined

  beforeEach(async () => {
    clock = new HeldClock()
    came = []
    firstAnswer = undefined
    server = createServer((request, response) => {
      came.push(request.url ?? '')
      if (came.length === 1) firstAnswer = response
      else answer(response)
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const { port } = server.address() as AddressInfo
    const greet = async (): Promise<IProbeAnswer> => ({ load: undefined, processToken: 'one' })
    const questions = { settle: async () => undefined, probe: async () => undefined, greet } as unknown as NodeQuestions
    node = new RemoteNode({
      name: 'n' as NodeName, address: `127.0.0.1:${port}` as NetworkAddress, questions, clock, log: new RecordingLog(), onLoad: () => undefined
    })
  })

  afterEach(() => {
    node.dispose()
    server.close()
    server.closeAllConnections()
  })

  /** The only connection is busy, so that `second` has to wait until openings go on; it is left before that. Gives what came. */
  async function leaveWhileWaiting (repeat: RepeatKind, cancellation: ICancellation, leave: () => void): Promise<readonly string[]> {
    const first = node.execute(meshCall('idempotent', clock.now(), { path: '/first' }), EXPECTED, NO_CANCELLATION)
    await until(() => firstAnswer !== undefined)
    const second = node.execute(meshCall(repeat, clock.now(), { path: '/second' }), EXPECTED, cancellation)
    leave()
    const third = node.execute(meshCall('idempotent', clock.now(), { path: '/third' }), EXPECTED, NO_CANCELLATION)
    clock.letGo()
    // Whoever waits longest gets the first connection, so that nothing can come after this.
    await third
    if (firstAnswer !== undefined) answer(firstAnswer)
    await Promise.all([first, second])
    return came
  }

  for (const repeat of ['idempotent', 'non-idempotent'] as const) {
    it(`sends nothing to it afterwards: ${repeat}`, async () => {
      const left = new CancellationSource()
      expect(await leaveWhileWaiting(repeat, left, () => left.cancel())).to.deep.equal(['/first', '/third'])
    })
  }

  for (const repeat of ['idempotent', 'non-idempotent'] as const) {
    it(`sends nothing to it on a connection that becomes free in the turn that reads the leaving: ${repeat}`, async () => {
      let isLeft = false
      // The end of a connection is known before its event comes.
      const left: ICancellation = { get isCancelled () { return isLeft }, onCancelled: () => ({ dispose: () => undefined }) }
      const first = node.execute(meshCall('idempotent', clock.now(), { path: '/first' }), EXPECTED, NO_CANCELLATION)
      await until(() => firstAnswer !== undefined)
      const second = node.execute(meshCall(repeat, clock.now(), { path: '/second' }), EXPECTED, left)
      if (firstAnswer !== undefined) answer(firstAnswer)
      // Comes in the same turn, behind what the answer has caused.
      await first.then(() => setImmediate(() => { isLeft = true }))
      await second
      await node.execute(meshCall('idempotent', clock.now(), { path: '/third' }), EXPECTED, NO_CANCELLATION)
      expect(came).to.deep.equal(['/first', '/third'])
    })
  }

  it('sends nothing to it afterwards if another attempt has answered meanwhile', async () => {
    const attempt = new AbortableAttempt(NO_CANCELLATION)
    expect(await leaveWhileWaiting('idempotent', attempt, () => attempt.abort())).to.deep.equal(['/first', '/third'])
  })
})

function answer (response: ServerResponse): void {
  response.writeHead(200, { [INNER_HEADER.outcome]: 'answered' }).end()
}
