/** Settle queries for calls without a response: the replies of the node and the resulting outcomes. */
import { expect } from 'chai'
import { createServer, type Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { NO_CANCELLATION } from '../../common/Cancellation.js'
import { ClockService } from '../../common/ClockService.js'
import type { Milliseconds, NetworkAddress } from '../../common/Types.js'
import { meshCall } from '../../../testing/mesh/MeshCalls.js'
import { until } from '../../../testing/mesh/MeshRig.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { NODE_HEADER } from '../exchange/CallCodec.js'
import type { IProbeResponse, ISettleResponse, NodeQueries, SettleReply } from '../exchange/NodeQueries.js'
import type { NodeName, Idempotency } from '../Types.js'
import { RemoteNode } from './RemoteNode.js'

/** Response time longer than the delay before the first settle query. */
const SLOW_MS = 700
/** Response time longer than the delay before the first settle query, shorter than the delay until the next one. */
const IN_TRANSIT_MS = 450
const EXPECTED = 10 as Milliseconds
/** Responses of a node that the test truncates. */
const RESPONSES = [
  `HTTP/1.1 200 OK\r\n${NODE_HEADER.outcome}: answered\r\nx-mark: one\r\n${NODE_HEADER.processToken}: one\r\ncontent-length: 12\r\n\r\ntwelve bytes`,
  `HTTP/1.1 503 Service Unavailable\r\n${NODE_HEADER.outcome}: refused;overloaded;1200\r\n${NODE_HEADER.processToken}: one\r\ncontent-length: 0\r\n\r\n`
]

describe('RemoteNode', () => {
  const clock = new ClockService()
  let server: Server
  let node: RemoteNode
  let delay: number
  /** Writes the response in place of the server. */
  let script: ((socket: Socket) => void) | undefined
  /** Replies to the settle queries in order; the last one is repeated. */
  let replies: ReadonlyArray<SettleReply | undefined>
  let settleQueries: number
  let log: RecordingLog
  /** Time that the node needs to respond to a probe. */
  let probeResponseTime: number

  beforeEach(async () => {
    delay = 0
    script = undefined
    replies = ['running']
    settleQueries = 0
    server = createServer((request, response) => {
      if (script !== undefined) return script(request.socket)
      setTimeout(() => {
        response.writeHead(200, { [NODE_HEADER.outcome]: 'answered', [NODE_HEADER.processToken]: 'one' })
        response.end('whole')
      }, delay)
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const { port } = server.address() as AddressInfo
    const settle = async (): Promise<ISettleResponse | undefined> => {
      const reply = replies[Math.min(settleQueries++, replies.length - 1)]
      return reply === undefined ? undefined : { reply, load: undefined }
    }
    log = new RecordingLog()
    probeResponseTime = Infinity
    const probe = async (_address: NetworkAddress, timeout = 0): Promise<IProbeResponse | undefined> => {
      return timeout < probeResponseTime ? undefined : { load: undefined, processToken: 'one' }
    }
    const probeOnConnection = async (): Promise<IProbeResponse> => ({ load: undefined, processToken: 'one' })
    const queries = { settle, probeOnConnection, probe } as unknown as NodeQueries
    node = new RemoteNode({
      name: 'n' as NodeName, address: `127.0.0.1:${port}` as NetworkAddress, queries, clock, log, onLoad: () => undefined
    })
  })

  afterEach(() => {
    node.dispose()
    server.close()
    server.closeAllConnections()
  })

  /** Kind and reason of the outcome of a call whose response takes `responseDelay`, after a call with a fast response. */
  async function outcomeOf (states: ReadonlyArray<SettleReply | undefined>, repeat: Idempotency, responseDelay = SLOW_MS): Promise<string> {
    await node.execute(meshCall(repeat, clock.now()), EXPECTED, NO_CANCELLATION)
    replies = states
    delay = responseDelay
    const outcome = await node.execute(meshCall(repeat, clock.now()), EXPECTED, NO_CANCELLATION)
    return outcome.kind === 'answered' ? outcome.kind : `${outcome.kind}: ${outcome.reason}`
  }

  it('waits for a node that runs the request or was restarted before the request, and for the response of a finished non-idempotent one', async () => {
    expect(await outcomeOf(['running'], 'idempotent')).to.equal('answered')
    expect(await outcomeOf(['other-process'], 'idempotent')).to.equal('answered')
    expect(await outcomeOf(['finished'], 'non-idempotent')).to.equal('answered')
  })

  it('waits for a response that is still in transit when its node reports the request as finished', async () => {
    expect(await outcomeOf(['finished'], 'idempotent', IN_TRANSIT_MS)).to.equal('answered')
  })

  it('returns refused for a request that will never run, and unknown for a lost response', async () => {
    expect(await outcomeOf(['never-will-be'], 'non-idempotent')).to.equal('refused: unreachable')
    expect(await outcomeOf(['finished'], 'idempotent')).to.equal('unknown: connection to e broke')
  })

  it('marks a node as suspect if it does not respond to a settle query', async () => {
    expect(await outcomeOf([undefined], 'idempotent')).to.match(/^unknown/)
    expect(node.isSuspect).to.equal(true)
  })

  it('continues an attempt if one settle query is lost, for example on a congested link', async () => {
    expect(await outcomeOf([undefined, 'running'], 'idempotent')).to.equal('answered')
    expect(log.events.map(({ name }) => name)).to.include('node-suspect')
  })

  it('trusts a suspect node again as soon as it has responded to the second settle query', async () => {
    await outcomeOf([undefined, 'running'], 'idempotent')
    expect(log.events.map(({ name }) => name).filter((name) => name.startsWith('node-'))).to.deep.equal(['node-suspect', 'node-trusted'])
    expect(node.isSuspect).to.equal(false)
  })

  it('trusts a suspect node again that responds more slowly than the minimum timeout of a probe', async () => {
    probeResponseTime = SLOW_MS
    await outcomeOf([undefined], 'idempotent')
    expect(node.isSuspect).to.equal(true)
    await until(() => !node.isSuspect)
  })

  for (const response of RESPONSES) {
    it(`returns unknown wherever the connection closes or resets before the end of a response: ${response.slice(9, 12)}`, async () => {
      replies = [undefined]
      const kinds = new Set<string>()
      for (const isReset of [false, true]) {
        for (let length = 0; length < response.length; length++) {
          script = undefined
          expect((await node.execute(meshCall('non-idempotent', clock.now()), EXPECTED, NO_CANCELLATION)).kind).to.equal('answered')
          script = (socket) => { socket.write(response.slice(0, length), () => isReset ? socket.resetAndDestroy() : socket.end()) }
          kinds.add((await node.execute(meshCall('non-idempotent', clock.now()), EXPECTED, NO_CANCELLATION)).kind)
        }
      }
      expect([...kinds]).to.deep.equal(['unknown'])
    })
  }

  it('sends no further settle query once the node has not responded to two of them', async () => {
    expect(await outcomeOf([undefined], 'idempotent')).to.equal('unknown: n does not respond')
    expect(settleQueries).to.equal(2)
  })
})
