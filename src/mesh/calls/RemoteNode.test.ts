/** What a node says of a request that stays without an answer, and what is made of it. */
import { expect } from 'chai'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { NO_CANCELLATION } from '../../common/Cancellation.js'
import { ClockService } from '../../common/ClockService.js'
import type { Milliseconds, NetworkAddress } from '../../common/Types.js'
import { meshCall } from '../../../testing/mesh/MeshCalls.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { INNER_HEADER } from '../exchange/CallCodec.js'
import type { IProbeAnswer, ISettleAnswer, NodeQuestions, SettleReply } from '../exchange/NodeQuestions.js'
import type { NodeName, RepeatKind } from '../Types.js'
import { RemoteNode } from './RemoteNode.js'

/** Longer than the first question waits. */
const SLOW_MS = 700
const EXPECTED = 10 as Milliseconds

describe('RemoteNode', () => {
  const clock = new ClockService()
  let server: Server
  let node: RemoteNode
  let delay: number
  /** Replies to the questions in turn; the last one goes on. */
  let replies: ReadonlyArray<SettleReply | undefined>
  let questionsAsked: number

  beforeEach(async () => {
    delay = 0
    replies = ['running']
    questionsAsked = 0
    server = createServer((_request, response) => {
      setTimeout(() => {
        response.writeHead(200, { [INNER_HEADER.outcome]: 'answered', [INNER_HEADER.processToken]: 'one' })
        response.end('whole')
      }, delay)
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const { port } = server.address() as AddressInfo
    const settle = async (): Promise<ISettleAnswer | undefined> => {
      const reply = replies[Math.min(questionsAsked++, replies.length - 1)]
      return reply === undefined ? undefined : { reply, load: undefined }
    }
    const greet = async (): Promise<IProbeAnswer> => ({ load: undefined, processToken: 'one' })
    const questions = { settle, greet, probe: async () => undefined } as unknown as NodeQuestions
    node = new RemoteNode({
      name: 'n' as NodeName, address: `127.0.0.1:${port}` as NetworkAddress, questions, clock, log: new RecordingLog(), onLoad: () => undefined
    })
  })

  afterEach(() => {
    node.dispose()
    server.close()
    server.closeAllConnections()
  })

  /** Kind and reason of the outcome of a call whose answer is slow, after one that was not. */
  async function outcomeOf (settled: ReadonlyArray<SettleReply | undefined>, repeat: RepeatKind): Promise<string> {
    await node.execute(meshCall(repeat, clock.now()), EXPECTED, NO_CANCELLATION)
    replies = settled
    delay = SLOW_MS
    const outcome = await node.execute(meshCall(repeat, clock.now()), EXPECTED, NO_CANCELLATION)
    return outcome.kind === 'answered' ? outcome.kind : `${outcome.kind}: ${outcome.reason}`
  }

  it('waits for a node that runs the request, and for one that was restarted before the request came', async () => {
    expect(await outcomeOf(['running'], 'idempotent')).to.equal('answered')
    expect(await outcomeOf(['other-process'], 'idempotent')).to.equal('answered')
    expect(await outcomeOf(['finished'], 'non-idempotent')).to.equal('answered')
  })

  it('takes a request that will never run for refused, and an answer that was lost for unknown', async () => {
    expect(await outcomeOf(['never-will-be'], 'non-idempotent')).to.equal('refused: unreachable')
    expect(await outcomeOf(['finished'], 'idempotent')).to.equal('unknown: connection to e broke')
  })

  it('keeps requests away from a node that does not answer a question', async () => {
    expect(await outcomeOf([undefined], 'idempotent')).to.match(/^unknown/)
    expect(node.isSuspect).to.equal(true)
  })

  it('does not end an attempt because one question was lost, as on a full link', async () => {
    expect(await outcomeOf([undefined, 'running'], 'idempotent')).to.equal('answered')
    expect(node.isSuspect).to.equal(true)
  })

  it('asks no more about a request once the node has not answered two questions', async () => {
    expect(await outcomeOf([undefined], 'idempotent')).to.equal('unknown: n does not answer')
    expect(questionsAsked).to.equal(2)
  })
})
