/** Guards against keeping everything that other nodes, or processes at their former addresses, send without an end. */
import { expect } from 'chai'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { NO_CANCELLATION } from '../../common/Cancellation.js'
import { ClockService } from '../../common/ClockService.js'
import type { Milliseconds, NetworkAddress } from '../../common/Types.js'
import { meshCall } from '../../../testing/mesh/MeshCalls.js'
import { until } from '../../../testing/mesh/MeshRig.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { NODE_HEADER } from '../exchange/CallCodec.js'
import { NodeQueries } from '../exchange/NodeQueries.js'
import { ResponseBufferBudget } from '../exchange/ResponseBufferBudget.js'
import type { NodeName } from '../Types.js'
import { RemoteNode } from './RemoteNode.js'

const EXPECTED = 50 as Milliseconds
const CALLS = 4
const PART_BYTES = 600_000
/** Memory that is reserved beyond the bytes of a response, at most. */
const SPARE_BYTES = 65_536
/** One part fits, two do not. */
const LIMIT_BYTES = 1_000_000
/** Longer than a test runs, so that only a limit ends a query. */
const QUERY_TIMEOUT_MS = 60_000 as Milliseconds

describe('Responses of other nodes', () => {
  const clock = new ClockService()
  let server: Server
  let address: NetworkAddress
  /** Open connections on which the start of a response was written and nothing after it. */
  let unfinished: Set<Socket>

  async function listen (respond: (socket: Socket, request: string) => void): Promise<void> {
    unfinished = new Set()
    server = createServer((socket) => {
      socket.on('error', () => undefined)
      socket.once('close', () => unfinished.delete(socket))
      socket.on('data', (bytes) => respond(socket, bytes.toString()))
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    address = `127.0.0.1:${(server.address() as AddressInfo).port}` as NetworkAddress
  }

  /** Writes the start of a long response. */
  function writePart (socket: Socket): void {
    unfinished.add(socket)
    socket.write(`HTTP/1.1 200 OK\r\n${NODE_HEADER.processToken}: one\r\ncontent-length: 10000000\r\n\r\n`)
    socket.write(Buffer.alloc(PART_BYTES, 'a'))
  }

  afterEach(() => {
    for (const socket of unfinished) socket.destroy()
    server.close()
  })

  it('are limited together while they are received', async () => {
    await listen((socket, request) => {
      if (request.includes(`${NODE_HEADER.purpose}: probe`)) socket.write(`HTTP/1.1 200 OK\r\n${NODE_HEADER.processToken}: one\r\ncontent-length: 0\r\n\r\n`)
      else writePart(socket)
    })
    const responseBuffers = new ResponseBufferBudget({ limit: LIMIT_BYTES })
    const queries = new NodeQueries({ clock, peerAddress: 'self:1' as NetworkAddress, timeout: 350 as Milliseconds })
    const node = new RemoteNode({
      name: 'n' as NodeName, address, queries, clock, log: new RecordingLog(), onLoad: () => undefined, responseBuffers
    })
    let ended = 0
    const calls = Array.from({ length: CALLS }, async () => {
      const outcome = await node.execute(meshCall('non-idempotent', clock.now()), EXPECTED, NO_CANCELLATION)
      ended++
      return outcome
    })
    await until(() => ended === CALLS - 1 && unfinished.size === 1)
    expect(responseBuffers.bytes).to.be.within(PART_BYTES, PART_BYTES + SPARE_BYTES)
    for (const socket of unfinished) socket.destroy()
    expect((await Promise.all(calls)).map(({ kind }) => kind)).to.deep.equal(Array.from({ length: CALLS }, () => 'unknown'))
    expect(responseBuffers.bytes).to.equal(0)
    node.dispose()
  })

  it('to a query end it and its connection if they have a long body', async () => {
    await listen(writePart)
    const queries = new NodeQueries({ clock, peerAddress: 'self:1' as NetworkAddress, timeout: QUERY_TIMEOUT_MS })
    expect(await queries.probe(address)).to.equal(undefined)
    await until(() => unfinished.size === 0)
  })
})
