/** HTTP server for callers, with malformed and hostile input over raw sockets, and its stop. */
import { expect } from 'chai'
import fc from 'fast-check'
import { connect, type Socket } from 'node:net'
import { RecordingLog } from '../../testing/RecordingLog.js'
import { ClockService } from '../common/ClockService.js'
import type { CallOutcome, IAnswerSink, NotRunReason } from '../gate/Types.js'
import { CallerFront, type ICallerFrontOptions } from './CallerFront.js'
import type { IInboundRequest, IRouterService } from './Services.js'

const SEED = 20_261_204

/** A router that records the requests and responds with a fixed body, or refuses with `refusal`. */
class EchoRouter implements IRouterService {
  public readonly requests: string[] = []
  public refusal: CallOutcome | undefined
  public respond: (sink: IAnswerSink) => void = (sink) => {
    sink.begin(200, { 'content-length': '2' })
    sink.write(Buffer.from('ok'))
    sink.end()
  }

  public async route (request: IInboundRequest, sink: IAnswerSink): Promise<CallOutcome> {
    let body = ''
    for await (const chunk of request.body ?? []) body += String(chunk)
    this.requests.push(`${request.service} ${request.method} ${request.path} [${body}]`)
    if (this.refusal !== undefined) return this.refusal
    this.respond(sink)
    return { kind: 'answered', status: 200 }
  }
}

/** Runs `action` with a started front, and stops the front afterwards. */
async function withFront (
  action: (front: CallerFront, router: EchoRouter) => Promise<void>, options: Partial<ICallerFrontOptions> = {}
): Promise<void> {
  const router = new EchoRouter()
  const front = new CallerFront({ router, host: '127.0.0.1', port: 0, clock: new ClockService(), log: new RecordingLog(), ...options })
  await front.start()
  try {
    await action(front, router)
  } finally {
    await front.stop()
  }
}

function open (front: Pick<CallerFront, 'address'>): Socket {
  const socket = connect(Number(front.address.split(':')[1]), '127.0.0.1')
  socket.on('error', () => undefined)
  return socket
}

/** Sends bytes, and returns the data received until the front closes the connection or the data contains `until`. */
function exchange (front: Pick<CallerFront, 'address'>, bytes: string | Uint8Array, until?: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = open(front)
    let received = ''
    socket.on('data', (data) => {
      received += data.toString('latin1')
      if (until !== undefined && received.includes(until)) socket.destroy()
    })
    socket.on('close', () => resolve(received))
    socket.write(bytes)
  })
}

/** Returns the status line, the savoryknot headers and the `retry-after` and `connection: close` headers of each response. */
function summary (received: string): string {
  const lines = received.split('\r\n').filter((line) => /^(HTTP|savoryknot|retry-after|connection: close)/i.test(line))
  return lines.length === 0 ? 'closed without a response' : lines.join(', ')
}

const HOST = 'Host: status.mesh.example\r\n'
const CLOSE = 'Connection: close\r\n'

describe('CallerFront', () => {
  it('finds the service by header or by host name', () => withFront(async (front, router) => {
    const heads = [
      HOST, 'Host: STATUS\r\n', 'Host: status:80\r\n', 'Host: x\r\nsavoryknot-service: fees\r\n', 'Host: 10.0.0.1:80\r\n', 'Host: [::1]\r\n',
      'Host: x\r\nsavoryknot-service: ../fees\r\n', 'Host: x\r\nsavoryknot-service: a\r\nsavoryknot-service: b\r\n', '', 'Host: a_b\r\n'
    ]
    const results: string[] = []
    for (const head of heads) {
      const before = router.requests.length
      const received = await exchange(front, `GET /a HTTP/1.1\r\n${head}${CLOSE}\r\n`)
      results.push(`${JSON.stringify(head)} -> ${received.split('\r\n')[0]} ${router.requests[before] ?? 'not routed'}`)
    }
    expect(results).toMatchSnapshot()
  }))

  it('responds to each refusal with its status, outcome and reason', () => withFront(async (front, router) => {
    const reasons: NotRunReason[] = ['overloaded', 'draining', 'deadline', 'cancelled', 'no-endpoint', 'no-route', 'unreachable', 'quarantined', 'key-missing',
      'key-conflict', 'store-unavailable', 'too-large', 'rate-limited', 'malformed', 'not-ready']
    const outcomes: CallOutcome[] = [
      ...reasons.map((reason) => ({ kind: 'not-run' as const, reason, step: 'test' })),
      { kind: 'unknown', reason: 'connection broke', step: 'test' }, { kind: 'unknown', reason: 'deadline', step: 'test' }
    ]
    const results: string[] = []
    for (const outcome of outcomes) {
      router.refusal = outcome
      results.push(summary(await exchange(front, `GET /a HTTP/1.1\r\n${HOST}${CLOSE}\r\n`)))
    }
    expect(results).toMatchSnapshot()
  }))

  it('refuses ambiguous, malformed and oversized requests, and routes none of them', () => withFront(async (front, router) => {
    const second = 'GET /smuggled HTTP/1.1\r\nHost: fees\r\n\r\n'
    const hostile: Record<string, string> = {
      'length and chunks': `POST /a HTTP/1.1\r\n${HOST}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n${second}`,
      'two lengths': `POST /a HTTP/1.1\r\n${HOST}Content-Length: 4\r\nContent-Length: 40\r\n\r\nabcd${second}`,
      'the same length twice': `POST /a HTTP/1.1\r\n${HOST}Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd${second}`,
      'listed lengths': `POST /a HTTP/1.1\r\n${HOST}Content-Length: 4, 4\r\n\r\nabcd${second}`,
      'signed length': `POST /a HTTP/1.1\r\n${HOST}Content-Length: +4\r\n\r\nabcd${second}`,
      'chunked last but one': `POST /a HTTP/1.1\r\n${HOST}Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n${second}`,
      'disguised chunked': `POST /a HTTP/1.1\r\n${HOST}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n${second}`,
      'space before the colon': `POST /a HTTP/1.1\r\n${HOST}Content-Length : 4\r\n\r\nabcd${second}`,
      'folded header': `GET /a HTTP/1.1\r\n${HOST}X: a\r\n b\r\n\r\n${second}`,
      'bare line feeds': `GET /a HTTP/1.1\n${HOST.trim()}\n\n${second}`,
      'carriage return in a value': `GET /a HTTP/1.1\r\n${HOST}X: a\rb\r\n\r\n${second}`,
      'null in a value': `GET /a HTTP/1.1\r\n${HOST}X: a\0b\r\n\r\n${second}`,
      'absolute target': `GET http://fees/a HTTP/1.1\r\n${HOST}\r\n${second}`,
      tunnel: `CONNECT fees:80 HTTP/1.1\r\n${HOST}\r\n${second}`,
      upgrade: `GET /a HTTP/1.1\r\n${HOST}Connection: upgrade\r\nUpgrade: h2c\r\n\r\n${second}`,
      'unknown method': `G3T /a HTTP/1.1\r\n${HOST}\r\n${second}`,
      'old protocol': `GET /a HTTP/0.9\r\n${HOST}\r\n${second}`,
      'no host': `GET /a HTTP/1.1\r\n\r\n${second}`,
      'large header': `GET /a HTTP/1.1\r\n${HOST}X: ${'y'.repeat(40_000)}\r\n\r\n`,
      'many headers': `GET /a HTTP/1.1\r\n${HOST}${'x: y\r\n'.repeat(300)}\r\n`,
      'bad chunk': `POST /a HTTP/1.1\r\n${HOST}Transfer-Encoding: chunked\r\n\r\nzz\r\n${second}`,
      expectation: `POST /a HTTP/1.1\r\n${HOST}Expect: a-pony\r\nContent-Length: 1\r\n\r\n`,
      'TLS to a plain port': '\x16\x03\x01\x02\0\x01\0\x01\xfc\x03\x03'
    }
    const results: string[] = []
    for (const [name, bytes] of Object.entries(hostile)) {
      results.push(`${name} -> ${summary(await exchange(front, Buffer.from(bytes, 'latin1')))}`)
    }
    expect(router.requests).to.deep.equal([])
    expect(front.inFlight).to.equal(0)
    expect(results).toMatchSnapshot()
  }))

  it('keeps serving after arbitrary bytes, and routes only complete requests', () => withFront(async (front, router) => {
    const piece = fc.constantFrom('GET /a HTTP/1.1\r\n', 'POST /b HTTP/1.1\r\n', HOST, 'Content-Length: 3\r\n', 'Transfer-Encoding: chunked\r\n', '\r\n', 'abc', '3\r\nabc\r\n',
      '0\r\n\r\n', '\0', '\n', ': ', 'X: y\r\n', '%', '\r')
    const input = fc.oneof(fc.array(piece, { maxLength: 12 }).map((parts) => Buffer.from(parts.join(''))), fc.uint8Array({ maxLength: 200 }))
    await fc.assert(fc.asyncProperty(input, async (bytes) => {
      await new Promise<void>((resolve) => {
        const socket = open(front)
        socket.on('close', () => resolve())
        socket.on('data', () => undefined)
        socket.end(bytes)
      })
    }), { seed: SEED, numRuns: 300 })
    for (const request of router.requests) expect(request).to.match(/^status (GET|POST) \/[ab] \[(abc)*\]$/)
    expect(await exchange(front, `GET /a HTTP/1.1\r\n${HOST}${CLOSE}\r\n`)).to.include('200 OK')
  }))

  it('closes connections on which the head or the body of a request arrives too slowly', () => withFront(async (front) => {
    const received = await Promise.all([
      exchange(front, `GET /a HTTP/1.1\r\n${HOST}`),
      exchange(front, `POST /a HTTP/1.1\r\n${HOST}Content-Length: 10\r\n\r\nab`)
    ])
    expect(received[0]).to.match(/^HTTP\/1.1 4/)
  }, { headersTimeoutMs: 100, requestTimeoutMs: 200 }))

  it('closes connections above the connection limit', () => withFront(async (front) => {
    const openConnections = [open(front), open(front)]
    await Promise.all(openConnections.map((socket) => new Promise((resolve) => socket.once('connect', resolve))))
    expect(await exchange(front, `GET /a HTTP/1.1\r\n${HOST}\r\n`)).to.equal('')
    for (const socket of openConnections) socket.destroy()
  }, { connectionLimit: 2 }))

  it('finishes responses in flight when it stops, accepts no new connection, and closes idle connections', async () => {
    const waiting: Array<() => void> = []
    await withFront(async (front, router) => {
      router.respond = (sink) => {
        sink.begin(200, { 'content-length': '4' })
        sink.write(Buffer.from('ha'))
        waiting.push(() => {
          sink.write(Buffer.from('lf'))
          sink.end()
        })
      }
      const inFlight = exchange(front, `GET /a HTTP/1.1\r\n${HOST}\r\n`)
      const idle = new Promise((resolve) => open(front).on('close', resolve).resume())
      while (waiting.length === 0) await new Promise((resolve) => setImmediate(resolve))
      const { address } = front
      const stopped = front.stop()
      expect(await exchange({ address }, `GET /a HTTP/1.1\r\n${HOST}\r\n`)).to.equal('')
      waiting[0]?.()
      await stopped
      expect(await inFlight).to.match(/half$/)
      await idle
    })
  })

  it('closes the connection without a response if malformed bytes follow a request in flight, and responds to each pipelined request', () => withFront(async (front, router) => {
    const waiting: Array<() => void> = []
    const route = router.route.bind(router)
    router.route = async (request, sink) => {
      if (request.path === '/wait') await new Promise<void>((resolve) => waiting.push(resolve))
      return route(request, sink)
    }
    const garbled = exchange(front, `GET /wait HTTP/1.1\r\n${HOST}\r\n\0\0\0`)
    expect(await garbled).to.equal('')
    const pipelined = exchange(front, `GET /wait HTTP/1.1\r\n${HOST}\r\nGET /a HTTP/1.1\r\n${HOST}${CLOSE}\r\n`)
    while (waiting.length < 2) await new Promise((resolve) => setImmediate(resolve))
    for (const finish of waiting) finish()
    expect((await pipelined).match(/200 OK/g)).to.have.length(2)
    await exchange(front, `GET /a HTTP/1.1\r\n${HOST}\r\nGET /a HTTP/1.1\r\n${HOST}\r\n`, '200 OK')
    while (front.inFlight > 0) await new Promise((resolve) => setImmediate(resolve))
  }))

  it('does not parse the rest of an unread body as the next request', () => withFront(async (front, router) => {
    router.route = async () => ({ kind: 'not-run', reason: 'too-large', step: 'test' })
    const received = await exchange(front, `POST /a HTTP/1.1\r\n${HOST}Content-Length: 90000\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: fees\r\n\r\n`)
    expect(summary(received)).to.equal('HTTP/1.1 413 Payload Too Large, savoryknot-outcome: not-run, savoryknot-reason: too-large, connection: close')
  }))
})
