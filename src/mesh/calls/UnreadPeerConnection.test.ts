/** Guards against sending requests to a process that has not accepted its connections yet, where the requests would stay unread. */
import { expect } from 'chai'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { NO_CANCELLATION } from '../../common/Cancellation.js'
import { ClockService } from '../../common/ClockService.js'
import type { Milliseconds, NetworkAddress, Timestamp } from '../../common/Types.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { meshCall } from '../../../testing/mesh/MeshCalls.js'
import { NODE_HEADER } from '../exchange/CallCodec.js'
import { NodeQueries } from '../exchange/NodeQueries.js'
import type { IEndpointLoad, NodeName } from '../Types.js'
import { RemoteNode } from './RemoteNode.js'

const CALLERS = 12
const EXPECTED = 50 as Milliseconds

describe('Connections to a node that does not read them yet', () => {
  const clock = new ClockService()
  let server: Server
  let node: RemoteNode
  let sockets: Socket[]
  let received: string
  let loads: number

  beforeEach(async () => {
    sockets = []
    received = ''
    loads = 0
    server = createServer((socket) => { sockets.push(socket.pause()) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as NetworkAddress
    const queries = new NodeQueries({ clock, peerAddress: 'self:1' as NetworkAddress, timeout: 350 as Milliseconds })
    const onLoad = (_load: IEndpointLoad, _now: Timestamp): void => { loads++ }
    node = new RemoteNode({ name: 'n' as NodeName, address, queries, clock, log: new RecordingLog(), onLoad })
  })

  afterEach(() => {
    node.dispose()
    for (const socket of sockets) socket.destroy()
    server.close()
  })

  /** Responds to every request on the connection and records the received text. */
  function readFrom (socket: Socket): void {
    socket.on('error', () => undefined)
    socket.on('data', (bytes) => {
      received += bytes.toString()
      const fields = `${NODE_HEADER.outcome}: answered\r\n${NODE_HEADER.load}: 1/4/100/0/0\r\n${NODE_HEADER.processToken}: one\r\n`
      socket.write(`HTTP/1.1 200 OK\r\n${fields}content-length: 0\r\n\r\n`)
    })
    socket.resume()
  }

  it('are sent no request, which is refused as unreachable and can be sent elsewhere', async () => {
    const outcome = await node.execute(meshCall('non-idempotent', clock.now()), EXPECTED, NO_CANCELLATION)
    expect(outcome).to.deep.include({ kind: 'refused', reason: 'unreachable' })
    for (const socket of sockets) readFrom(socket)
    await clock.sleep(50 as Milliseconds)
    expect(received).not.to.contain('/path-of-the-call')
  })

  it('are opened one at a time until the node responds on the first, however many requests wait', async () => {
    const attempts = Array.from({ length: CALLERS }, async () => await node.execute(meshCall('idempotent', clock.now()), EXPECTED, NO_CANCELLATION))
    await clock.sleep(100 as Milliseconds)
    expect(sockets.length).to.equal(1)
    server.on('connection', readFrom)
    readFrom(sockets[0] as Socket)
    const outcomes = await Promise.all(attempts)
    expect(outcomes.map(({ kind }) => kind)).to.deep.equal(Array.from({ length: CALLERS }, () => 'answered'))
    expect(loads).to.be.greaterThan(0)
  })
})
