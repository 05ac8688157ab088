/** Framing, smuggling, truncation and cancellation at the HTTP adapters, over real sockets. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { once } from 'node:events'
import { expect } from 'chai'
import { HeaderRules, endToEndHeaders } from './HeaderRules.js'
import { HttpResponseSink } from './HttpResponseSink.js'
import { HttpInbound } from './HttpInbound.js'

type Handler = (message: IncomingMessage, response: ServerResponse) => void

/** Sends `text` to a server that responds with `handler`; returns everything received until the connection closes. */
async function exchange (handler: Handler, text: string): Promise<string> {
  const server: Server = createServer(handler)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  let received = ''
  socket.on('data', (chunk: Buffer) => { received += chunk.toString('latin1') })
  socket.on('error', () => { received += '<reset>' })
  socket.write(text)
  await once(socket, 'close')
  server.close()
  return received.replace(/Date: .*\r\n/, '')
}

/** The fault that `HeaderRules` finds in a request with this head, or the status line if the server itself rejects it. */
async function faultOf (head: string): Promise<string> {
  const rules = new HeaderRules({ maximumFields: 8, maximumBytes: 400, maximumTargetBytes: 40 })
  const received = await exchange((message, response) => {
    response.setHeader('connection', 'close')
    response.end(rules.faultOf(message) ?? 'no fault')
  }, head)
  return received.slice(received.indexOf('\r\n\r\n') + 4) || received.slice(0, received.indexOf('\r\n'))
}

describe('HTTP adapters', () => {
  it('a request head with ambiguous framing or over a size limit is rejected', async () => {
    const heads: Record<string, string> = {
      plain: 'GET /a HTTP/1.1\r\nHost: x\r\n\r\n',
      'length and encoding': 'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
      'two lengths': 'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc',
      'signed length': 'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\nabc',
      'stacked encodings': 'POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
      'encoding twice': 'POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
      'bare line feed in a value': 'GET /a HTTP/1.1\r\nHost: x\r\nA: b\nC: d\r\n\r\n',
      'absolute target': 'GET http://y/a HTTP/1.1\r\nHost: x\r\n\r\n',
      'long target': `GET /${'a'.repeat(50)} HTTP/1.1\r\nHost: x\r\n\r\n`,
      'many fields': `GET /a HTTP/1.1\r\nHost: x\r\n${'A: b\r\n'.repeat(9)}\r\n`,
      'large fields': `GET /a HTTP/1.1\r\nHost: x\r\nA: ${'b'.repeat(500)}\r\n\r\n`
    }
    const faults: Record<string, string> = {}
    for (const [name, head] of Object.entries(heads)) faults[name] = await faultOf(head)
    expect(faults).toMatchSnapshot()
  })

  it('hop-by-hop fields are removed, including those named in Connection', () => {
    const kept = endToEndHeaders({ connection: 'close, X-Secret', 'x-secret': '1', te: 'trailers', 'x-kept': '2', 'keep-alive': '5' })
    expect(kept).to.deep.equal({ 'x-kept': '2' })
  })

  it('the connection is closed when a response is shorter or longer than its length, or is aborted', async () => {
    const writers: Record<string, (sink: HttpResponseSink) => void> = {
      whole: (sink) => { sink.write(Buffer.from('abc')); sink.end() },
      shorter: (sink) => { sink.write(Buffer.from('ab')); sink.end() },
      longer: (sink) => { sink.write(Buffer.from('abcd')); sink.end() },
      aborted: (sink) => { sink.write(Buffer.from('ab')); sink.abort(); sink.end() }
    }
    const received: Record<string, string> = {}
    for (const [name, write] of Object.entries(writers)) {
      received[name] = await exchange((message, response) => {
        const sink = new HttpResponseSink({ response, additionalHeaders: () => ['savoryknot-outcome', 'answered'] })
        sink.begin(200, { 'content-length': '3', connection: 'close', 'set-cookie': ['a', 'b'], 'savoryknot-outcome': 'forged' })
        write(sink)
        received[`${name} truncated`] = String(sink.isTruncated)
        message.socket.end()
      }, 'GET /a HTTP/1.1\r\nHost: x\r\n\r\n')
    }
    expect(received.whole).to.contain('\r\n\r\nabc')
    for (const name of ['shorter', 'longer', 'aborted']) expect(received[name]).not.to.contain('\r\n\r\nabc')
    expect(received).toMatchSnapshot()
  })

  it('a response to HEAD keeps the length of a body that it does not carry', async () => {
    const received = await exchange((message, response) => {
      const sink = new HttpResponseSink({ response })
      sink.begin(200, { 'content-length': '3' })
      sink.end()
      message.socket.end()
    }, 'HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n')
    expect(received).to.contain('content-length: 3')
  })

  it('cancellation fires once when the sender disconnects, and not after a complete response', async () => {
    const cancelled: string[] = []
    await exchange((message, response) => {
      const inbound = new HttpInbound(message, response)
      inbound.onCancelled(() => { cancelled.push(`cut ${String(inbound.isCancelled)} ${String(inbound.bodyBytes)}`) })
      message.socket.destroy()
    }, 'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc')
    await exchange((message, response) => {
      new HttpInbound(message, response).onCancelled(() => { cancelled.push('after a complete response') })
      response.end('done')
      message.socket.end()
    }, 'GET /a HTTP/1.1\r\nHost: x\r\n\r\n')
    expect(cancelled).to.deep.equal(['cut true 9'])
  })
})
