/** A process that is not a node may listen at the address of a node that has ended; its responses must not count as those of a node. */
import { expect } from 'chai'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { ClockService } from '../../common/ClockService.js'
import type { Milliseconds, NetworkAddress, RequestId } from '../../common/Types.js'
import { NODE_HEADER } from './CallCodec.js'
import { NodeQueries, SETTLE_REPLY_HEADER } from './NodeQueries.js'

const TIMEOUT_MS = 2_000 as Milliseconds

describe('NodeQueries', () => {
  let server: Server
  let address: NetworkAddress
  /** Header fields of the responses. */
  let fields: Record<string, string>
  let queries: NodeQueries

  beforeEach(async () => {
    fields = {}
    server = createServer((_message: IncomingMessage, response: ServerResponse) => response.writeHead(200, fields).end())
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    address = `127.0.0.1:${(server.address() as AddressInfo).port}` as NetworkAddress
    queries = new NodeQueries({ clock: new ClockService(), peerAddress: '127.0.0.1:9' as NetworkAddress, timeout: TIMEOUT_MS })
  })

  afterEach(() => {
    server.close()
    server.closeAllConnections()
  })

  // The response cleared the suspicion of the node that had ended, and requests were sent to its address again.
  it('gets no response to a probe from a process that is not a node', async () => {
    fields = { [NODE_HEADER.load]: '0/4/0/0/0' }
    expect(await queries.probe(address)).to.equal(undefined)
  })

  it('gets the process token and the load of a node', async () => {
    fields = { [NODE_HEADER.load]: '1/4/20/0/0', [NODE_HEADER.processToken]: 'abc' }
    const response = await queries.probe(address)
    expect([response?.processToken, response?.load?.slots]).to.deep.equal(['abc', 4])
  })

  it('gets no reply to a settle query from a process that is not a node, or one that it does not know', async () => {
    const replies = []
    for (const reply of ['', 'perhaps', 'never-will-be']) {
      fields = { [SETTLE_REPLY_HEADER]: reply }
      replies.push((await queries.settle(address, 'request' as RequestId, 'token'))?.reply)
    }
    expect(replies).to.deep.equal([undefined, undefined, 'never-will-be'])
  })
})
