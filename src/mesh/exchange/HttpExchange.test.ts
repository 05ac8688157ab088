/** Responses that are truncated after every possible byte, and responses that arrive without a request. */
import { expect } from 'chai'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { MAXIMUM_HEAP_GROWTH_BYTES, SMALL_CHUNKS, smallChunks } from '../../../testing/SmallChunks.js'
import { measureUsedHeap } from '../../../testing/UsedHeap.js'
import type { Milliseconds, NetworkAddress } from '../../common/Types.js'
import { ClockService } from '../../common/ClockService.js'
import { UpstreamConnections, type UpstreamConnection } from '../../gate/UpstreamConnections.js'
import { HttpExchange, type ExchangeResult } from './HttpExchange.js'

/** Behavior of the server for one request. */
type Behaviour = (socket: Socket) => void

const COMPLETE = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole'
const OK: Behaviour = (socket) => { socket.write(COMPLETE) }
const ENDS = ['end', 'reset'] as const
/** Responses whose head determines where the body ends: name, method and text. */
const FRAMED: ReadonlyArray<readonly [string, string, string]> = [
  ['length', 'GET', 'HTTP/1.1 200 OK\r\nx-mark: one\r\ncontent-length: 12\r\n\r\ntwelve bytes'],
  ['length first', 'GET', 'HTTP/1.1 200 OK\r\ncontent-length: 12\r\nx-mark: one\r\n\r\ntwelve bytes'],
  ['length, closing', 'GET', 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 12\r\n\r\ntwelve bytes'],
  ['chunks', 'GET', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n'],
  ['chunks, closing', 'GET', 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\nc\r\ntwelve bytes\r\n0\r\n\r\n'],
  ['a length of zero', 'GET', 'HTTP/1.1 200 OK\r\nx-mark: one\r\ncontent-length: 0\r\n\r\n'],
  ['a length, HTTP/1.0', 'GET', 'HTTP/1.0 200 OK\r\nx-mark: one\r\ncontent-length: 12\r\n\r\ntwelve bytes'],
  ['a length, HTTP/1.0, keep-alive', 'GET', 'HTTP/1.0 200 OK\r\nconnection: keep-alive\r\ncontent-length: 12\r\n\r\ntwelve bytes'],
  ['chunks with trailers', 'GET', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nc\r\ntwelve bytes\r\n0\r\nx-mark: one\r\n\r\n'],
  ['204', 'GET', 'HTTP/1.1 204 No Content\r\nx-mark: one\r\n\r\n'],
  ['304', 'GET', 'HTTP/1.1 304 Not Modified\r\nx-mark: one\r\n\r\n'],
  ['304 with the length of the cached body', 'GET', 'HTTP/1.1 304 Not Modified\r\ncontent-length: 12\r\nx-mark: one\r\n\r\n'],
  ['HEAD', 'HEAD', 'HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n'],
  ['after an interim response', 'GET', 'HTTP/1.1 103 Early Hints\r\nx-hint: one\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\none']
]
/** Heads of responses that are delimited by the close of the connection. */
const HEADS_WITHOUT_LENGTH: ReadonlyArray<readonly [string, string]> = [
  ['no field', 'HTTP/1.1 200 OK\r\nx-mark: one\r\nconnection: close\r\n\r\n'],
  ['no field, not closing', 'HTTP/1.1 200 OK\r\nx-mark: one\r\n\r\n'],
  ['no field, HTTP/1.0', 'HTTP/1.0 200 OK\r\nx-mark: one\r\n\r\n'],
  ['a coding other than chunked', 'HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\n']
]
/** More than the socket buffers accept while the other side does not read. */
const LONG_BODY_BYTES = 12_000_000
/** Time within which a reset is detected. */
const SETTLE_MS = 10 as Milliseconds

describe('HttpExchange', () => {
  const clock = new ClockService()
  /** Behaviors for the next requests, in order. */
  let behaviours: Behaviour[]
  let server: Server
  let connections: UpstreamConnections
  const sockets = new Set<Socket>()

  beforeEach(async () => {
    behaviours = []
    server = createServer({ noDelay: true }, (socket) => {
      sockets.add(socket)
      socket.on('error', () => undefined)
      socket.on('data', () => behaviours.shift()?.(socket))
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const { port } = server.address() as AddressInfo
    connections = new UpstreamConnections({
      address: `127.0.0.1:${port}` as NetworkAddress, clock, onUnreachable: () => undefined, openInterval: 0 as Milliseconds, openTimeout: 500 as Milliseconds
    })
    connections.resize(0, 1)
  })

  afterEach(() => {
    connections.dispose()
    server.close()
    for (const socket of sockets) socket.destroy()
    sockets.clear()
  })

  /** Result of an exchange that is aborted after `text` was received and nothing follows. */
  async function resultOfStalled (method: string, text: string): Promise<ExchangeResult> {
    const connection = await connections.acquire()
    expect((await exchange(connection, 'GET', OK)).kind).to.equal('answer')
    const given = new HttpExchange({ method, path: '/', fields: ['host', 'mesh.example'], body: undefined })
    behaviours.push((socket) => {
      // The delay lets the exchange read the text before the abort.
      socket.write(text, () => setTimeout(() => given.abort('deadline'), 1))
    })
    const end = await given.run(connection)
    connection.close()
    return end
  }

  async function exchange (connection: UpstreamConnection, method: string, behaviour: Behaviour): Promise<ExchangeResult> {
    behaviours.push(behaviour)
    return await new HttpExchange({ method, path: '/', fields: ['host', 'mesh.example'], body: undefined }).run(connection)
  }

  /** Result of an exchange on a separate connection, which has already served another exchange if `isKept`. */
  async function resultOf (method: string, behaviour: Behaviour, isKept: boolean): Promise<ExchangeResult> {
    const connection = await connections.acquire()
    if (isKept) expect((await exchange(connection, 'GET', OK)).kind).to.equal('answer')
    const end = await exchange(connection, method, behaviour)
    connection.close()
    return end
  }

  /** Writes `text`, then closes or resets the connection. */
  function truncate (text: string, by: 'end' | 'reset'): Behaviour {
    return (socket) => {
      if (by === 'end') socket.end(text)
      else if (text === '') socket.resetAndDestroy()
      else socket.write(text, () => socket.resetAndDestroy())
    }
  }

  for (const [name, method, response] of FRAMED) {
    it(`reports a response as broken wherever the connection closes or resets before its end: ${name}`, async () => {
      const wrong: string[] = []
      for (const by of ENDS) {
        for (const isKept of [false, true]) {
          for (let length = 0; length < response.length; length++) {
            const end = await resultOf(method, truncate(response.slice(0, length), by), isKept)
            if (end.kind !== 'broken') wrong.push(`${by} after ${length} bytes, ${isKept ? 'kept' : 'fresh'}: ${end.kind}`)
          }
        }
      }
      expect(wrong).to.deep.equal([])
      expect((await resultOf(method, (socket) => { socket.write(response) }, true)).kind).to.equal('answer')
    })
  }

  for (const [name, method, response] of [...FRAMED, ...HEADS_WITHOUT_LENGTH.map(([name, head]) => [name, 'GET', `${head}body`] as const)]) {
    it(`reports a response as broken at the deadline wherever it stalls: ${name}`, async () => {
      const wrong: string[] = []
      const isOpenEnded = HEADS_WITHOUT_LENGTH.some(([other]) => other === name)
      for (let length = 0; length < response.length + (isOpenEnded ? 1 : 0); length++) {
        const end = await resultOfStalled(method, response.slice(0, length))
        if (end.kind !== 'broken' || end.reason !== 'deadline') wrong.push(`after ${length} bytes: ${end.kind}`)
      }
      expect(wrong).to.deep.equal([])
    })
  }

  for (const [name, head] of HEADS_WITHOUT_LENGTH) {
    it(`never reports a response delimited by the close of the connection as complete before the end of its head: framed by ${name}`, async () => {
      const response = `${head}body`
      const wrong: string[] = []
      for (const isKept of [false, true]) {
        for (let length = 0; length <= response.length; length++) {
          const end = await resultOf('GET', truncate(response.slice(0, length), 'end'), isKept)
          const isRight = length < head.length ? end.kind === 'broken' : end.kind === 'broken' || (end.kind === 'answer' && !end.hasLength)
          if (!isRight) wrong.push(`${length} bytes, ${isKept ? 'kept' : 'fresh'}: ${end.kind}`)
        }
      }
      expect(wrong).to.deep.equal([])
    })

    it(`detects a reset during a response delimited by the close of the connection: framed by ${name}`, async () => {
      const wrong: string[] = []
      for (let length = head.length; length <= head.length + 4; length++) {
        const connection = await connections.acquire()
        const end = await exchange(connection, 'GET', truncate(`${head}body`.slice(0, length), 'reset'))
        await clock.sleep(SETTLE_MS)
        const isKnown = end.kind === 'broken' || (end.kind === 'answer' && !end.hasLength && connection.hasFailed)
        if (!isKnown) wrong.push(`${length} bytes: ${end.kind}`)
        connection.close()
      }
      expect(wrong).to.deep.equal([])
    })
  }

  it('sends the rest of a request body after an early response before the next request', async () => {
    const connection = await connections.acquire()
    const received: Buffer[] = []
    const body = Buffer.alloc(LONG_BODY_BYTES, 'b')
    behaviours.push((socket) => {
      socket.removeAllListeners('data').pause().write(COMPLETE)
    })
    const first = await new HttpExchange({ method: 'POST', path: '/', fields: ['host', 'mesh.example'], body }).run(connection)
    const second = new HttpExchange({ method: 'GET', path: '/second', fields: ['host', 'mesh.example'], body: undefined }).run(connection)
    const [socket] = sockets
    socket?.on('data', (chunk: Buffer) => {
      received.push(chunk)
      if (chunk.toString('latin1').endsWith('\r\n\r\n')) socket.write(COMPLETE)
    })
    socket?.resume()
    const end = await second
    const text = Buffer.concat(received).toString('latin1')
    const rest = text.slice(0, text.indexOf('GET /second'))
    expect([first.kind, end.kind, /^b+$/.test(rest), rest.length <= LONG_BODY_BYTES]).to.deep.equal(['answer', 'answer', true, true])
  })

  it('does not use a response that arrived before a request was sent as the response to this request', async () => {
    const connection = await connections.acquire()
    const first = await exchange(connection, 'GET', (socket) => { socket.write(`${COMPLETE}${COMPLETE}`) })
    const later = await exchange(connection, 'GET', OK)
    expect([first.kind, later.kind]).to.deep.equal(['answer', 'not-sent'])
  })

  it('closes a connection on which a response arrives while it is idle, and does not reuse it', async () => {
    const connection = await connections.acquire()
    const first = await exchange(connection, 'GET', (socket) => {
      socket.write(COMPLETE)
      setTimeout(() => socket.write(COMPLETE), 1)
    })
    connections.release(connection, true)
    await clock.sleep(SETTLE_MS)
    expect([first.kind, connection.isOpen, connections.tryAcquire()]).to.deep.equal(['answer', false, undefined])
  })
  // Guards against a list of chunks: an endless response in chunks of one byte ended the process.
  it('takes memory for the bytes of a response, not for each chunk', async () => {
    const connection = await connections.acquire()
    const before = measureUsedHeap()
    behaviours.push((socket) => { socket.write(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${smallChunks(SMALL_CHUNKS)}`) })
    const given = new HttpExchange({ method: 'GET', path: '/', fields: ['host', 'mesh.example'], body: undefined })
    const end = given.run(connection)
    while (given.bytes < SMALL_CHUNKS) await clock.sleep(SETTLE_MS)
    const growth = measureUsedHeap() - before
    const [socket] = sockets
    socket?.write('0\r\n\r\n')
    const result = await end
    expect(growth).to.be.at.most(MAXIMUM_HEAP_GROWTH_BYTES)
    expect(result.kind === 'answer' && result.body.equals(Buffer.alloc(SMALL_CHUNKS, 'a'))).to.equal(true)
  })
})
