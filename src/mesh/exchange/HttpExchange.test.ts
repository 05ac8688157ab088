/** Answers that end before their end, at every byte, and answers that nobody asked for. */
import { expect } from 'chai'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { Milliseconds, NetworkAddress } from '../../common/Types.js'
import { ClockService } from '../../common/ClockService.js'
import { UpstreamConnections, type UpstreamConnection } from '../../gate/UpstreamConnections.js'
import { HttpExchange, type ExchangeEnd } from './HttpExchange.js'

/** What the other side does with one request. */
type Behaviour = (socket: Socket) => void

const WHOLE = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole'
const FIRST: Behaviour = (socket) => { socket.write(WHOLE) }
const ENDS = ['end', 'reset'] as const
/** Answers whose end is told by their head. */
const FRAMED: ReadonlyArray<readonly [string, string, string]> = [
  ['length', 'GET', 'HTTP/1.1 200 OK\r\nx-mark: one\r\ncontent-length: 12\r\n\r\ntwelve bytes'],
  ['length first', 'GET', 'HTTP/1.1 200 OK\r\ncontent-length: 12\r\nx-mark: one\r\n\r\ntwelve bytes'],
  ['length, closing', 'GET', 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 12\r\n\r\ntwelve bytes'],
  ['chunks', 'GET', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n'],
  ['chunks, closing', 'GET', 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\nc\r\ntwelve bytes\r\n0\r\n\r\n'],
  ['a length of zero', 'GET', 'HTTP/1.1 200 OK\r\nx-mark: one\r\ncontent-length: 0\r\n\r\n'],
  ['a length, of an older version', 'GET', 'HTTP/1.0 200 OK\r\nx-mark: one\r\ncontent-length: 12\r\n\r\ntwelve bytes'],
  ['a length, of an older version, keeping', 'GET', 'HTTP/1.0 200 OK\r\nconnection: keep-alive\r\ncontent-length: 12\r\n\r\ntwelve bytes'],
  ['chunks with trailers', 'GET', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nc\r\ntwelve bytes\r\n0\r\nx-mark: one\r\n\r\n'],
  ['204', 'GET', 'HTTP/1.1 204 No Content\r\nx-mark: one\r\n\r\n'],
  ['304', 'GET', 'HTTP/1.1 304 Not Modified\r\nx-mark: one\r\n\r\n'],
  ['304 with the length of the body that it stands for', 'GET', 'HTTP/1.1 304 Not Modified\r\ncontent-length: 12\r\nx-mark: one\r\n\r\n'],
  ['HEAD', 'HEAD', 'HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n'],
  ['after an interim answer', 'GET', 'HTTP/1.1 103 Early Hints\r\nx-hint: one\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\none']
]
/** Heads of answers that end with their connection. */
const HEADS_WITHOUT_LENGTH: ReadonlyArray<readonly [string, string]> = [
  ['no field', 'HTTP/1.1 200 OK\r\nx-mark: one\r\nconnection: close\r\n\r\n'],
  ['no field, not closing', 'HTTP/1.1 200 OK\r\nx-mark: one\r\n\r\n'],
  ['no field, of an older version', 'HTTP/1.0 200 OK\r\nx-mark: one\r\n\r\n'],
  ['a coding other than chunked', 'HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\n']
]
/** More than the system takes without the other side reading. */
const LONG_BODY_BYTES = 12_000_000
/** Time within which a reset shows. */
const SETTLE_MS = 10 as Milliseconds

describe('HttpExchange', () => {
  const clock = new ClockService()
  /** One for each request, in turn. */
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

  /** The end of an exchange that is given up when `text` has come and nothing follows. */
  async function endOfSilent (method: string, text: string): Promise<ExchangeEnd> {
    const connection = await connections.acquire()
    expect((await exchange(connection, 'GET', FIRST)).kind).to.equal('answer')
    const given = new HttpExchange({ method, path: '/', fields: ['host', 'mesh.example'], body: undefined })
    behaviours.push((socket) => {
      // What was written has been read when the exchange is given up.
      socket.write(text, () => setTimeout(() => given.abort('deadline'), 1))
    })
    const end = await given.run(connection)
    connection.close()
    return end
  }

  async function exchange (connection: UpstreamConnection, method: string, behaviour: Behaviour): Promise<ExchangeEnd> {
    behaviours.push(behaviour)
    return await new HttpExchange({ method, path: '/', fields: ['host', 'mesh.example'], body: undefined }).run(connection)
  }

  /** The end of an exchange on a connection of its own, which has carried another exchange if it is `isKept`. */
  async function endOf (method: string, behaviour: Behaviour, isKept: boolean): Promise<ExchangeEnd> {
    const connection = await connections.acquire()
    if (isKept) expect((await exchange(connection, 'GET', FIRST)).kind).to.equal('answer')
    const end = await exchange(connection, method, behaviour)
    connection.close()
    return end
  }

  function cut (text: string, by: 'end' | 'reset'): Behaviour {
    return (socket) => {
      if (by === 'end') socket.end(text)
      else if (text === '') socket.resetAndDestroy()
      else socket.write(text, () => socket.resetAndDestroy())
    }
  }

  for (const [name, method, answer] of FRAMED) {
    it(`takes no part of an answer for a whole one, wherever it is cut: ${name}`, async () => {
      const taken: string[] = []
      for (const by of ENDS) {
        for (const isKept of [false, true]) {
          for (let length = 0; length < answer.length; length++) {
            const end = await endOf(method, cut(answer.slice(0, length), by), isKept)
            if (end.kind !== 'broken') taken.push(`${by} after ${length} bytes, ${isKept ? 'kept' : 'fresh'}: ${end.kind}`)
          }
        }
      }
      expect(taken).to.deep.equal([])
      expect((await endOf(method, (socket) => { socket.write(answer) }, true)).kind).to.equal('answer')
    })
  }

  for (const [name, method, answer] of [...FRAMED, ...HEADS_WITHOUT_LENGTH.map(([name, head]) => [name, 'GET', `${head}body`] as const)]) {
    it(`takes no part of an answer for a whole one, wherever it falls silent: ${name}`, async () => {
      const taken: string[] = []
      const isOpenEnded = HEADS_WITHOUT_LENGTH.some(([other]) => other === name)
      for (let length = 0; length < answer.length + (isOpenEnded ? 1 : 0); length++) {
        const end = await endOfSilent(method, answer.slice(0, length))
        if (end.kind !== 'broken' || end.reason !== 'deadline') taken.push(`after ${length} bytes: ${end.kind}`)
      }
      expect(taken).to.deep.equal([])
    })
  }

  for (const [name, head] of HEADS_WITHOUT_LENGTH) {
    it(`takes an answer that ends with its connection for whole only after its head: framed by ${name}`, async () => {
      const answer = `${head}body`
      const wrong: string[] = []
      for (const isKept of [false, true]) {
        for (let length = 0; length <= answer.length; length++) {
          const end = await endOf('GET', cut(answer.slice(0, length), 'end'), isKept)
          const isRight = length < head.length ? end.kind === 'broken' : end.kind === 'broken' || (end.kind === 'answer' && !end.hasLength)
          if (!isRight) wrong.push(`${length} bytes, ${isKept ? 'kept' : 'fresh'}: ${end.kind}`)
        }
      }
      expect(wrong).to.deep.equal([])
    })

    it(`shows a reset of an answer that ends with its connection: framed by ${name}`, async () => {
      const wrong: string[] = []
      for (let length = head.length; length <= head.length + 4; length++) {
        const connection = await connections.acquire()
        const end = await exchange(connection, 'GET', cut(`${head}body`.slice(0, length), 'reset'))
        await clock.sleep(SETTLE_MS)
        const isKnown = end.kind === 'broken' || (end.kind === 'answer' && !end.hasLength && connection.hasFailed)
        if (!isKnown) wrong.push(`${length} bytes: ${end.kind}`)
        connection.close()
      }
      expect(wrong).to.deep.equal([])
    })
  }

  it('sends the rest of a body behind an early answer before the next request', async () => {
    const connection = await connections.acquire()
    const received: Buffer[] = []
    const body = Buffer.alloc(LONG_BODY_BYTES, 'b')
    behaviours.push((socket) => {
      socket.removeAllListeners('data').pause().write(WHOLE)
    })
    const first = await new HttpExchange({ method: 'POST', path: '/', fields: ['host', 'mesh.example'], body }).run(connection)
    const second = new HttpExchange({ method: 'GET', path: '/second', fields: ['host', 'mesh.example'], body: undefined }).run(connection)
    const [socket] = sockets
    socket?.on('data', (chunk: Buffer) => {
      received.push(chunk)
      if (chunk.toString('latin1').endsWith('\r\n\r\n')) socket.write(WHOLE)
    })
    socket?.resume()
    const end = await second
    const text = Buffer.concat(received).toString('latin1')
    const rest = text.slice(0, text.indexOf('GET /second'))
    expect([first.kind, end.kind, /^b+$/.test(rest), rest.length <= LONG_BODY_BYTES]).to.deep.equal(['answer', 'answer', true, true])
  })

  it('gives no answer that came before its request was sent to that request', async () => {
    const connection = await connections.acquire()
    const first = await exchange(connection, 'GET', (socket) => { socket.write(`${WHOLE}${WHOLE}`) })
    const later = await exchange(connection, 'GET', FIRST)
    expect([first.kind, later.kind]).to.deep.equal(['answer', 'not-sent'])
  })

  it('gives no answer that came while the connection was idle to the next request', async () => {
    const connection = await connections.acquire()
    const first = await exchange(connection, 'GET', (socket) => {
      socket.write(WHOLE)
      setTimeout(() => socket.write(WHOLE), 1)
    })
    connections.release(connection, true)
    await clock.sleep(SETTLE_MS)
    expect([first.kind, connection.isOpen, connections.tryAcquire()]).to.deep.equal(['answer', false, undefined])
  })
})
