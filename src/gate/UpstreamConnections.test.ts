/** Waiters for connections to a process that accepts connections but does not respond on them. */
import { expect } from 'chai'
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { Milliseconds, NetworkAddress } from '../common/Types.js'
import { HttpExchange } from '../mesh/exchange/HttpExchange.js'
import { ManualClock, settlePromises } from '../../testing/ManualClock.js'
import { UpstreamConnections, type UpstreamConnection } from './UpstreamConnections.js'

const OPEN_TIMEOUT = 400 as Milliseconds
/** Interval between two callers; shorter than the timeout of a connection attempt, so that an attempt is always in progress. */
const CALLER_INTERVAL_MS = 150
const CALLERS = 3
/** More event loop iterations than it takes until both sides have detected the end of a connection. */
const SETTLE_ITERATIONS = 50

describe('UpstreamConnections', () => {
  let clock: ManualClock
  let server: Server
  let connections: UpstreamConnections
  /** Connections on which a verification request was received, in this order. */
  let requestedSockets: Socket[]

  beforeEach(async () => {
    clock = new ManualClock()
    requestedSockets = []
    server = createServer((socket) => {
      socket.on('error', () => undefined)
      socket.once('data', () => requestedSockets.push(socket))
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    connections = new UpstreamConnections({
      address: `127.0.0.1:${(server.address() as AddressInfo).port}` as NetworkAddress,
      clock,
      onUnreachable: () => undefined,
      openInterval: 1 as Milliseconds,
      openTimeout: OPEN_TIMEOUT,
      maximumParallelAttempts: 4,
      verify
    })
    connections.resize(0, 10)
    await openFirstConnection()
  })

  afterEach(() => {
    connections.dispose()
    for (const socket of requestedSockets) socket.destroy()
    server.close()
  })

  async function verify (connection: UpstreamConnection): Promise<boolean> {
    const end = await new HttpExchange({ method: 'GET', path: '/', fields: ['host', 'upstream'], body: undefined }).run(connection)
    return end.kind === 'answer'
  }

  function respond (number: number): void {
    requestedSockets[number]?.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
  }

  /** Opens a connection, which remains acquired. */
  async function openFirstConnection (): Promise<void> {
    const first = connections.acquire()
    await waitUntil(() => requestedSockets.length === 1)
    respond(0)
    await first
    await clock.advance(1)
  }

  /** Runs the event loop until `isMet` returns true, for a bounded number of iterations. */
  async function waitUntil (isMet: () => boolean): Promise<void> {
    for (let iteration = 0; iteration < SETTLE_ITERATIONS * 10 && !isMet(); iteration++) await settlePromises()
  }

  /** Starts callers that wait for a connection, one after the other. Returns the results of those whose wait has finished. */
  async function startWaitingCallers (): Promise<string[]> {
    const results: string[] = []
    for (let number = 1; number <= CALLERS; number++) {
      connections.acquire().then(() => results.push(`${number} connected`), () => results.push(`${number} rejected`))
      await waitUntil(() => requestedSockets.length === number + 1)
      if (number < CALLERS) await clock.advance(CALLER_INTERVAL_MS)
    }
    expect([requestedSockets.length, results]).to.deep.equal([CALLERS + 1, []])
    return results
  }

  /** Lets the connection attempt for the first caller time out. */
  async function failFirstAttempt (): Promise<void> {
    await clock.advance(OPEN_TIMEOUT - (CALLERS - 1) * CALLER_INTERVAL_MS)
    for (let iteration = 0; iteration < SETTLE_ITERATIONS; iteration++) await settlePromises()
    expect(requestedSockets[1]?.destroyed).to.equal(true)
  }

  it('rejects all waiters when the process is unresponsive, even if some of them came after the failed attempt had started', async () => {
    const results = await startWaitingCallers()
    await failFirstAttempt()
    expect(results).to.deep.equal(['1 rejected', '2 rejected', '3 rejected'])
  })

  it('keeps the remaining waiters if the process has responded since the failed attempt started', async () => {
    const results = await startWaitingCallers()
    respond(2)
    await waitUntil(() => results.length === 1)
    await failFirstAttempt()
    respond(3)
    await waitUntil(() => results.length === 2)
    expect(results).to.deep.equal(['1 connected', '2 connected'])
  })
})
