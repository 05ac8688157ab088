/** What a node says of a request that stays without an answer, and what is made of it. */
import { expect } from 'chai'
import { createServer, type Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { NO_CANCELLATION } from '../../common/Cancellation.js'
import { ClockService } from '../../common/ClockService.js'
import type { Milliseconds, NetworkAddress } from '../../common/Types.js'
import { meshCall } from '../../../testing/mesh/MeshCalls.js'
import { until } from '../../../testing/mesh/MeshRig.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { INNER_HEADER } from '../exchange/CallCodec.js'
import type { IProbeAnswer, ISettleAnswer, NodeQuestions, SettleReply } from '../exchange/NodeQuestions.js'
import type { NodeName, RepeatKind } from '../Types.js'
import { RemoteNode } from './RemoteNode.js'

/** Longer than the first question waits. */
const SLOW_MS = 700
/** Longer than the wait before the first question, shorter than that before the next one. */
const UNDER_WAY_MS = 450
const EXPECTED = 10 as Milliseconds
/** What a node writes that ends amid its answer. */
const ANSWERS = [
  `HTTP/1.1 200 OK\r\n${INNER_HEADER.outcome}: answered\r\nx-mark: one\r\n${INNER_HEADER.processToken}: one\r\ncontent-length: 12\r\n\r\ntwelve bytes`,
  `HTTP/1.1 503 Service Unavailable\r\n${INNER_HEADER.outcome}: refused;overloaded;1200\r\n${INNER_HEADER.processToken}: one\r\ncontent-length: 0\r\n\r\n`
]

describe('RemoteNode', () => {
  const clock = new ClockService()
  let server: Server
  let node: RemoteNode
  let delay: number
  /** Writes the answer in place of the server. */
  let script: ((socket: Socket) => void) | undefined
  /** Replies to the questions in turn; the last one goes on. */
  let replies: ReadonlyArray<SettleReply | undefined>
  let questionsAsked: number
  let log: RecordingLog
  /** Time that the node needs for the answer to a probe. */
  let answerTime: number

  beforeEach(async () => {
    delay = 0
    script = undefined
    replies = ['running']
    questionsAsked = 0
    server = createServer((request, response) => {
      if (script !== undefined) return script(request.socket)
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
    log = new RecordingLog()
    answerTime = Infinity
    const probe = async (_address: NetworkAddress, timeout = 0): Promise<IProbeAnswer | undefined> => {
      return timeout < answerTime ? undefined : { load: undefined, processToken: 'one' }
    }
    const greet = async (): Promise<IProbeAnswer> => ({ load: undefined, processToken: 'one' })
    const questions = { settle, greet, probe } as unknown as NodeQuestions
    node = new RemoteNode({
      name: 'n' as NodeName, address: `127.0.0.1:${port}` as NetworkAddress, questions, clock, log, onLoad: () => undefined
    })
  })

  afterEach(() => {
    node.dispose()
    server.close()
    server.closeAllConnections()
  })

  /** Kind and reason of the outcome of a call whose answer takes `answerDelay`, after one that was not slow. */
  async function outcomeOf (settled: ReadonlyArray<SettleReply | undefined>, repeat: RepeatKind, answerDelay = SLOW_MS): Promise<string> {
    await node.execute(meshCall(repeat, clock.now()), EXPECTED, NO_CANCELLATION)
    replies = settled
    delay = answerDelay
    const outcome = await node.execute(meshCall(repeat, clock.now()), EXPECTED, NO_CANCELLATION)
    return outcome.kind === 'answered' ? outcome.kind : `${outcome.kind}: ${outcome.reason}`
  }

  it('waits for a node that runs the request, and for one that was restarted before the request came', async () => {
    expect(await outcomeOf(['running'], 'idempotent')).to.equal('answered')
    expect(await outcomeOf(['other-process'], 'idempotent')).to.equal('answered')
    expect(await outcomeOf(['finished'], 'non-idempotent')).to.equal('answered')
  })

  it('does not take an answer for lost that is still under way when its node says that it has finished', async () => {
    expect(await outcomeOf(['finished'], 'idempotent', UNDER_WAY_MS)).to.equal('answered')
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
    expect(log.events.map(({ name }) => name)).to.include('node-suspect')
  })

  it('gives requests to a node again as soon as it has answered the second question', async () => {
    await outcomeOf([undefined, 'running'], 'idempotent')
    expect(log.events.map(({ name }) => name).filter((name) => name.startsWith('node-'))).to.deep.equal(['node-suspect', 'node-trusted'])
    expect(node.isSuspect).to.equal(false)
  })

  it('gives requests to a node again that needs longer for its answers than the first question waits', async () => {
    answerTime = SLOW_MS
    await outcomeOf([undefined], 'idempotent')
    expect(node.isSuspect).to.equal(true)
    await until(() => !node.isSuspect)
  })

  for (const answer of ANSWERS) {
    it(`takes no part of an answer for a whole one, wherever its node ends: ${answer.slice(9, 12)}`, async () => {
      replies = [undefined]
      const kinds = new Set<string>()
      for (const isReset of [false, true]) {
        for (let length = 0; length < answer.length; length++) {
          script = undefined
          expect((await node.execute(meshCall('non-idempotent', clock.now()), EXPECTED, NO_CANCELLATION)).kind).to.equal('answered')
          script = (socket) => { socket.write(answer.slice(0, length), () => isReset ? socket.resetAndDestroy() : socket.end()) }
          kinds.add((await node.execute(meshCall('non-idempotent', clock.now()), EXPECTED, NO_CANCELLATION)).kind)
        }
      }
      expect([...kinds]).to.deep.equal(['unknown'])
    })
  }

  it('asks no more about a request once the node has not answered two questions', async () => {
    expect(await outcomeOf([undefined], 'idempotent')).to.equal('unknown: n does not answer')
    expect(questionsAsked).to.equal(2)
  })
})
