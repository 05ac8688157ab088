/** Bodies of requests that arrive in chunks of sizes that the sender chooses. */
import { expect } from 'chai'
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { MAXIMUM_HEAP_GROWTH_BYTES, SMALL_CHUNKS, smallChunks } from '../../testing/SmallChunks.js'
import { measureUsedHeap } from '../../testing/UsedHeap.js'
import { ClockService } from '../common/ClockService.js'
import type { Milliseconds } from '../common/Types.js'
import { readBodyStart } from './BodyStart.js'

const HEAD = 'POST / HTTP/1.1\r\nhost: mesh.example\r\ntransfer-encoding: chunked\r\n\r\n'
const CHECK_INTERVAL_MS = 5 as Milliseconds

describe('BodyStart', () => {
  const clock = new ClockService()
  let server: Server
  let client: Socket

  /** Sends `text` as the start of a request; resolves with the request. */
  async function receive (text: string): Promise<IncomingMessage> {
    server = createServer()
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    client = connect((server.address() as AddressInfo).port, '127.0.0.1')
    client.on('error', () => undefined)
    client.write(text)
    const [message] = await once(server, 'request') as [IncomingMessage]
    return message
  }

  afterEach(() => {
    client.destroy()
    server.close()
  })

  // Guards against a list of chunks: a body of 1 MB in chunks of one byte ended the process that read it.
  it('takes memory for the bytes of a body, not for each chunk', async () => {
    const before = measureUsedHeap()
    const text = `${HEAD}${smallChunks(SMALL_CHUNKS)}`
    const message = await receive(text)
    const reading = readBodyStart(message, SMALL_CHUNKS)
    while (message.socket.bytesRead < text.length) await clock.sleep(CHECK_INTERVAL_MS)
    const growth = measureUsedHeap() - before
    client.write('0\r\n\r\n')
    const { content, isWhole } = await reading
    expect(growth).to.be.at.most(MAXIMUM_HEAP_GROWTH_BYTES)
    expect([content.equals(Buffer.alloc(SMALL_CHUNKS, 'a')), isWhole]).to.deep.equal([true, true])
  })

  it('leaves a body that exceeds the limit complete in its stream', async () => {
    const message = await receive(`${HEAD}${smallChunks(300)}0\r\n\r\n`)
    const { isWhole } = await readBodyStart(message, 100)
    const rest: Buffer[] = []
    for await (const chunk of message) rest.push(chunk as Buffer)
    expect([isWhole, Buffer.concat(rest).toString()]).to.deep.equal([false, 'a'.repeat(300)])
  })
})
