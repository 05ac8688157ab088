/** Connections to a process that has fallen silent while others wait for them. */
import { expect } from 'chai'
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { Milliseconds, NetworkAddress } from '../common/Types.js'
import { HttpExchange } from '../mesh/exchange/HttpExchange.js'
import { ManualClock, settlePromises } from '../../testing/ManualClock.js'
import { UpstreamConnections, type UpstreamConnection } from './UpstreamConnections.js'

const OPEN_TIMEOUT = 400 as Milliseconds
/** So long after one caller the next one comes: less than an opening may take, so that one is always under way. */
const CALLER_INTERVAL_MS = 150
const CALLERS = 3
/** More turns of the event loop than an end of a connection takes to be noticed on both sides. */
const SETTLE_ITERATIONS = 50

describe('UpstreamConnections', () => {
  let clock: ManualClock
  let server: Server
  let connections: UpstreamConnections
  /** Connections on which a greeting came, in turn. */
  let greeted: Socket[]

  beforeEach(async () => {
    clock = new ManualClock()
    greeted = []
    server = createServer((socket) => {
      socket.on('error', () => undefined)
      socket.once('data', () => greeted.push(socket))
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    connections = new UpstreamConnections({
      address: `127.0.0.1:${(server.address() as AddressInfo).port}` as NetworkAddress,
      clock,
      onUnreachable: () => undefined,
      openInterval: 1 as Milliseconds,
      openTimeout: OPEN_TIMEOUT,
      parallelOpenings: 4,
      greet
    })
    connections.resize(0, 10)
    await openFirstConnection()
  })

  afterEach(() => {
    connections.dispose()
    for (const socket of greeted) socket.destroy()
    server.close()
  })

  async function greet (connection: UpstreamConnection): Promise<boolean> {
    const end = await new HttpExchange({ method: 'GET', path: '/', fields: ['host', 'upstream'], body: undefined }).run(connection)
    return end.kind === 'answer'
  }

  function respond (number: number): void {
    greeted[number]?.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
  }

  /** Opens a connection, which stays in use. */
  async function openFirstConnection (): Promise<void> {
    const first = connections.acquire()
    await waitUntil(() => greeted.length === 1)
    respond(0)
    await first
    await clock.advance(1)
  }

  /** Lets the event loop turn until `holds` does, but not without end. */
  async function waitUntil (isMet: () => boolean): Promise<void> {
    for (let turn = 0; turn < SETTLE_ITERATIONS * 10 && !isMet(); turn++) await settlePromises()
  }

  /** Callers begin to wait, one after the other. Gives the ends of their waits so far. */
  async function startWaitingCallers (): Promise<string[]> {
    const ends: string[] = []
    for (let number = 1; number <= CALLERS; number++) {
      connections.acquire().then(() => ends.push(`${number} lent`), () => ends.push(`${number} refused`))
      await waitUntil(() => greeted.length === number + 1)
      if (number < CALLERS) await clock.advance(CALLER_INTERVAL_MS)
    }
    expect([greeted.length, ends]).to.deep.equal([CALLERS + 1, []])
    return ends
  }

  /** The opening for the first of them fails. */
  async function failFirstOpening (): Promise<void> {
    await clock.advance(OPEN_TIMEOUT - (CALLERS - 1) * CALLER_INTERVAL_MS)
    for (let turn = 0; turn < SETTLE_ITERATIONS; turn++) await settlePromises()
    expect(greeted[1]?.destroyed).to.equal(true)
  }

  it('let nobody wait on for a silent process because others have come later', async () => {
    const ends = await startWaitingCallers()
    await failFirstOpening()
    expect(ends).to.deep.equal(['1 refused', '2 refused', '3 refused'])
  })

  it('go on for those who wait if the process has answered since the opening that failed began', async () => {
    const ends = await startWaitingCallers()
    respond(2)
    await waitUntil(() => ends.length === 1)
    await failFirstOpening()
    respond(3)
    await waitUntil(() => ends.length === 2)
    expect(ends).to.deep.equal(['1 lent', '2 lent'])
  })
})
