/** A caller that leaves while its node has not sent the request yet. */
import { expect } from 'chai'
import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Emitter } from '../../common/Emitter.js'
import type { IEvent, Milliseconds, NetworkAddress } from '../../common/Types.js'
import { HeldClock } from '../../../testing/HeldClock.js'
import { callOf } from '../../../testing/mesh/CallOf.js'
import { until } from '../../../testing/mesh/MeshRig.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { INNER_HEADER } from '../exchange/CallCodec.js'
import type { NodeQuestions } from '../exchange/NodeQuestions.js'
import type { NodeName, RepeatKind } from '../Types.js'
import { AbortableAttempt } from './ParallelAttempts.js'
import { RemoteNode } from './RemoteNode.js'

const EXPECTED = 1_000 as Milliseconds
const NEVER = new Emitter<void>().event

describe('A caller that leaves while a connection to another node is opened', () => {
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
    const questions = { settle: async () => undefined, probe: async () => undefined } as unknown as NodeQuestions
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
  async function leaveWhileWaiting (repeat: RepeatKind, onLeft: IEvent<void>, leave: () => void): Promise<readonly string[]> {
    const first = node.execute(callOf('first', clock.now()), EXPECTED, NEVER)
    await until(() => firstAnswer !== undefined)
    const second = node.execute(callOf('second', clock.now(), { repeat }), EXPECTED, onLeft)
    leave()
    const third = node.execute(callOf('third', clock.now()), EXPECTED, NEVER)
    clock.letGo()
    // Whoever waits longest gets the first connection, so that nothing can come after this.
    await third
    if (firstAnswer !== undefined) answer(firstAnswer)
    await Promise.all([first, second])
    return came
  }

  for (const repeat of ['idempotent', 'non-idempotent'] as const) {
    it(`has nothing sent for it afterwards: ${repeat}`, async () => {
      const left = new Emitter<void>()
      expect(await leaveWhileWaiting(repeat, left.event, () => left.fire())).to.deep.equal(['/first', '/third'])
    })
  }

  it('has nothing sent for it afterwards if another attempt has answered meanwhile', async () => {
    const attempt = new AbortableAttempt(NEVER)
    expect(await leaveWhileWaiting('idempotent', attempt.onCancelled, () => attempt.abort())).to.deep.equal(['/first', '/third'])
  })
})

function answer (response: ServerResponse): void {
  response.writeHead(200, { [INNER_HEADER.outcome]: 'answered' }).end()
}
