/** Responses of a platform that arrive in chunks of sizes that the platform chooses. */
import { expect } from 'chai'
import { EventEmitter, once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { setImmediate } from 'node:timers/promises'
import { RecordingLog } from '../../testing/RecordingLog.js'
import { measureUsedHeap } from '../../testing/UsedHeap.js'
import { ClockService } from '../common/ClockService.js'
import { MetricsService } from '../common/MetricsService.js'
import type { Milliseconds } from '../common/Types.js'
import { PlatformHttpClient, type IPlatformResponse } from './PlatformHttpClient.js'

/** Size of the response, and number of reads in which it arrives: bytes that arrive together are one chunk. */
const BODY_BYTES = 50_000
/** Maximum growth of the heap, in bytes, while the response is held: 20 for each byte. A list of the chunks takes 10 times as much. */
const MAXIMUM_HEAP_GROWTH_BYTES = 20 * BODY_BYTES
/** Time in which the client reads the last byte that the platform has sent, with a margin. */
const READ_MS = 50 as Milliseconds
const REQUEST_TIMEOUT_MS = 10_000 as Milliseconds

describe('PlatformHttpClient with a response in small chunks', () => {
  const clock = new ClockService()
  const sockets: Socket[] = []
  const received = new EventEmitter()
  let server: Server
  let client: PlatformHttpClient

  beforeEach(async () => {
    server = createServer((socket) => {
      sockets.push(socket)
      socket.on('error', () => undefined)
      socket.on('data', () => received.emit('request', socket))
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const { port } = server.address() as AddressInfo
    const services = { clock, log: new RecordingLog(), metrics: new MetricsService() }
    client = new PlatformHttpClient(services, { url: `http://127.0.0.1:${port}`, requestTimeout: REQUEST_TIMEOUT_MS })
  })

  afterEach(async () => {
    for (const socket of sockets.splice(0)) socket.destroy()
    await client.stop()
    server.close()
  })

  function request (): Promise<IPlatformResponse> {
    return client.request({ step: 'test.read', method: 'GET', path: '/', isWrite: false })
  }

  /** Connection on which the platform receives the next request. */
  async function nextRequest (): Promise<Socket> {
    const [socket] = await once(received, 'request') as [Socket]
    return socket
  }

  // Guards against a list of chunks, which takes about 100 bytes for each byte of such a response.
  it('takes memory for the bytes of a response, not for each chunk', async () => {
    // The code takes memory too when it runs for the first time.
    const first = request()
    ;(await nextRequest()).write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nshort')
    expect((await first).body.toString()).to.equal('short')
    const before = measureUsedHeap()
    const pending = request()
    const socket = await nextRequest()
    socket.setNoDelay(true).write(`HTTP/1.1 200 OK\r\ncontent-length: ${BODY_BYTES + 1}\r\n\r\n`)
    for (let sent = 0; sent < BODY_BYTES; sent++) {
      socket.write('a')
      await setImmediate()
    }
    await clock.sleep(READ_MS)
    const growth = measureUsedHeap() - before
    socket.write('a')
    const { body } = await pending
    expect(growth).to.be.at.most(MAXIMUM_HEAP_GROWTH_BYTES)
    expect(body.equals(Buffer.alloc(BODY_BYTES + 1, 'a'))).to.equal(true)
  })
})
