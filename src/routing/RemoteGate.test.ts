/** Calls to a remote gate whose connection breaks or whose responses are malformed or mismatched, over real sockets. */
import { expect } from 'chai'
import { readFile } from 'node:fs/promises'
import { Readable } from 'node:stream'
import type { TlsOptions } from 'node:tls'
import { TestKeys } from '../../testing/daemon/TestKeys.js'
import { responseHead, RawGate, type RawBehaviour } from '../../testing/RawGate.js'
import { RecordingLog } from '../../testing/RecordingLog.js'
import { createActiveDocument, createEndpoint, createRoute, FakeRequest, POOL, RecordingSink } from '../../testing/RoutingFixtures.js'
import { ClockService } from '../common/ClockService.js'
import { createRequestId } from '../common/Ids.js'
import { InvariantService } from '../common/InvariantService.js'
import { MetricsService } from '../common/MetricsService.js'
import type { Milliseconds, NetworkAddress, TeamName, Timestamp } from '../common/Types.js'
import type { IRoute } from '../documents/Types.js'
import type { CallOutcome, SettleResult } from '../gate/Types.js'
import { RemoteGates } from './RemoteGates.js'
import { RoutedCall } from './RoutedCall.js'
import type { INodeKeys } from './Types.js'
import type { IKeyFileNames } from '../daemon/keys/KeyFiles.js'

/** Deadline of calls that should finish earlier. */
const LONG_MS = 5_000
/** Deadline of calls that should exceed it. */
const SHORT_MS = 30

/** One raw gate, the connections to it, and a settle client with a fixed result. */
class Setup {
  public readonly clock = new ClockService()
  public readonly log = new RecordingLog()
  public readonly invariants = new InvariantService({ log: this.log, metrics: new MetricsService() })
  public readonly raw: RawGate
  public readonly gates: RemoteGates
  public settled = 0
  public address = '127.0.0.1:1' as NetworkAddress

  constructor (behaviour: RawBehaviour, settleResult: SettleResult | undefined = undefined, keys?: INodeKeys, tls?: TlsOptions) {
    this.raw = new RawGate(behaviour, tls)
    this.gates = new RemoteGates({
      settleClient: {
        settle: async () => {
          this.settled++
          return settleResult
        },
        dispose: () => undefined
      },
      clock: this.clock,
      log: this.log,
      invariants: this.invariants,
      connectionLimit: 1,
      keys
    })
  }

  public createCall (request = new FakeRequest(), deadlineMs = LONG_MS, route: Partial<IRoute> = {}): RoutedCall {
    const active = createActiveDocument([createRoute(route)])
    const resolved = { active, document: active.document!, route: createRoute(route), pool: POOL, retry: undefined, limit: undefined }
    return new RoutedCall(request, resolved, createRequestId(), request.headers, this.clock.now() + deadlineMs as Timestamp, 0, undefined)
  }

  public async run (call = this.createCall(), sink = new RecordingSink()): Promise<string> {
    const endpoint = createEndpoint('a', undefined, { gateAddress: this.address })
    return describeOutcome(await this.gates.target(endpoint).execute(call, sink), sink)
  }

  public async close (): Promise<void> {
    this.gates.dispose()
    this.raw.close()
  }
}

function describeOutcome (outcome: CallOutcome, sink: RecordingSink): string {
  const detail = outcome.kind === 'answered' ? outcome.status : outcome.reason
  return `${outcome.kind}: ${detail}, response ${sink.hasBegun ? sink.ending : 'not started'}${sink.text === '' ? '' : ` "${sink.text}"`}`
}

/** Runs one call against a gate with the given behaviour, and closes all connections. */
async function runOnce (behaviour: RawBehaviour, settleResult?: SettleResult, deadlineMs = LONG_MS): Promise<string> {
  const setup = new Setup(behaviour, settleResult)
  setup.address = await setup.raw.listen()
  const result = await setup.run(setup.createCall(undefined, deadlineMs))
  await setup.close()
  return result
}

describe('RemoteGate', () => {
  it('reports the outcome of the call for each fault of the gate or its connection, and for each settle result', async () => {
    const cases: Record<string, RawBehaviour> = {
      'cut after the request': (socket) => socket.destroy(),
      'cut inside the head': (socket) => socket.end('HTTP/1.1 200 OK\r\nsavoryknot-out'),
      'cut inside the length': (socket, id) => socket.end(responseHead(id, 'content-length: 10').slice(0, -5)),
      'cut inside the body': (socket, id) => socket.end(`${responseHead(id, 'content-length: 10')}half`),
      'cut inside a chunk': (socket, id) => socket.end(`${responseHead(id, 'transfer-encoding: chunked')}a\r\nhalf`),
      'end of the connection as end of the body': (socket, id) => socket.end(`${responseHead(id, 'connection: close')}half`),
      'end of the connection behind another coding': (socket, id) => socket.end(`${responseHead(id, 'transfer-encoding: identity')}half`),
      'longer than its length': (socket, id) => socket.end(`${responseHead(id, 'content-length: 4')}wholeHTTP/1.1 200 OK\r\n\r\n`),
      'another request\'s response': (socket) => socket.write(`${responseHead('other', 'content-length: 5')}other`),
      'no request id': (socket) => socket.write('HTTP/1.1 200 OK\r\nsavoryknot-outcome: answered\r\ncontent-length: 2\r\n\r\nhi'),
      'no outcome': (socket, id) => socket.write(`HTTP/1.1 200 OK\r\nsavoryknot-request-id: ${id}\r\ncontent-length: 2\r\n\r\nhi`),
      'not HTTP': (socket) => socket.write('SSH-2.0-x\r\n'),
      'head without end': (socket) => socket.write(`HTTP/1.1 200 OK\r\nx: ${'y'.repeat(70_000)}`),
      'refused as not run': (socket, id) => socket.write(`${responseHead(id, 'savoryknot-reason: overloaded\r\ncontent-length: 0', 'not-run', '503 X')}`),
      'refused for a reason of later software': (socket, id) => socket.write(`${responseHead(id, 'savoryknot-reason: hail\r\ncontent-length: 0', 'not-run', '503 X')}`),
      'refused by a gate with another version': (socket, id) => socket.write(`${responseHead(id, 'savoryknot-reason: no-route\r\ncontent-length: 0', 'not-run', '404 X')}`),
      'refused as unknown': (socket, id) => socket.write(`${responseHead(id, 'savoryknot-reason: crashed\r\ncontent-length: 0', 'unknown', '502 X')}`),
      whole: (socket, id) => socket.write(`${responseHead(id, 'content-length: 5')}whole`)
    }
    const results: string[] = []
    for (const [name, behaviour] of Object.entries(cases)) {
      for (const settle of [undefined, 'started', 'never-will-be'] as const) results.push(`${name}, settled ${settle ?? 'not'} -> ${await runOnce(behaviour, settle)}`)
    }
    expect(results).toMatchSnapshot()
  })

  it('reports a call as not run, without a settle query, if it could not connect to the gate', async () => {
    const setup = new Setup(() => undefined, 'started')
    expect(await setup.run()).to.equal('not-run: unreachable, response not started')
    expect(setup.settled).to.equal(0)
    await setup.close()
  })

  it('finishes at the deadline or when the caller disconnects, before and during the response, and closes the connection', async () => {
    const results: string[] = []
    const unresponsive: RawBehaviour = () => undefined
    const slowBody: RawBehaviour = (socket, id) => socket.write(`${responseHead(id, 'content-length: 10')}half`)
    for (const behaviour of [unresponsive, slowBody]) {
      results.push(await runOnce(behaviour, undefined, SHORT_MS))
      const setup = new Setup(behaviour)
      setup.address = await setup.raw.listen()
      const request = new FakeRequest()
      const running = setup.run(setup.createCall(request))
      while (setup.raw.heads.length === 0) await setup.clock.sleep(1 as Milliseconds)
      await setup.clock.sleep(10 as Milliseconds)
      request.cancel()
      results.push(await running)
      await setup.run(setup.createCall(undefined, SHORT_MS))
      expect(setup.raw.connections).to.equal(2)
      await setup.close()
    }
    expect(results).toMatchSnapshot()
  })

  it('sends nothing for a call whose deadline passes before a connection is free', async () => {
    const setup = new Setup(() => undefined)
    setup.address = await setup.raw.listen()
    const first = setup.run(setup.createCall(undefined, LONG_MS / 20))
    const second = await setup.run(setup.createCall(undefined, SHORT_MS))
    expect(second).to.equal('not-run: deadline, response not started')
    await first
    await setup.clock.sleep(20 as Milliseconds)
    expect(setup.raw.heads).to.have.length(1)
    await setup.close()
  })

  it('discards a late response that arrives on the connection of another request', async () => {
    let firstRequestId = ''
    const setup = new Setup((socket, id) => {
      if (firstRequestId === '') {
        firstRequestId = id
        return
      }
      // The late response to the first request, on the connection of the second request.
      socket.write(`${responseHead(firstRequestId, 'content-length: 6')}secret${responseHead(id, 'content-length: 4')}mine`)
    })
    setup.address = await setup.raw.listen()
    await setup.run(setup.createCall(undefined, SHORT_MS))
    expect(await setup.run()).to.equal('unknown: answer with a wrong request-id, response not started')
    expect(setup.invariants.breaches).to.equal(1)
    await setup.close()
  })

  it('refuses requests that undici rejects, because undici would count their connection as busy permanently', async () => {
    const setup = new Setup((socket, id) => socket.write(responseHead(id, 'content-length: 0')))
    setup.address = await setup.raw.listen()
    const hostile = [
      new FakeRequest('GET', '/status/1', { x: 'a\r\nsavoryknot-depth: 9' }), new FakeRequest('GET', '/status/1', { x: ['a', 'b\0'] as never }),
      new FakeRequest('GET', '/status/1', { 'x y': 'a' }), new FakeRequest('GET', '/status/1 HTTP/1.1\r\nx: y'), new FakeRequest('G T'), new FakeRequest('CONNECT')
    ]
    for (const request of hostile) expect(await setup.run(setup.createCall(request))).to.equal('not-run: malformed, response not started')
    const odd = { expect: '100-continue', upgrade: 'h2c', connection: 'x', 'transfer-encoding': 'chunked', 'content-length': 'x', 'keep-alive': '1' }
    expect(await setup.run(setup.createCall(new FakeRequest('GET', '/status/1', odd)))).to.equal('answered: 200, response whole')
    expect(setup.raw.heads).to.have.length(1)
    await setup.close()
  })

  it('reuses a connection after complete exchanges, and sends bodies unmodified', async () => {
    const bodies: string[] = []
    const setup = new Setup((socket, id, head) => {
      bodies.push(head.slice(head.indexOf('\r\n\r\n') + 4))
      socket.write(`${responseHead(id, 'content-length: 4')}done`)
    })
    setup.address = await setup.raw.listen()
    for (const text of ['one', 'two']) {
      const request = new FakeRequest('POST', '/status/1', { 'content-length': String(text.length) }, Readable.from([Buffer.from(text)]), text.length)
      expect(await setup.run(setup.createCall(request))).to.equal('answered: 200, response whole "done"')
    }
    expect(bodies).to.deep.equal(['one', 'two'])
    expect(setup.raw.connections).to.equal(1)
    await setup.close()
  })

  it('presents its certificate, requires a node certificate, and reuses a connection for calls with different hosts', async () => {
    const now = new ClockService().now()
    const trial = await TestKeys.create(now)
    const node = await readPair(await trial.issue('node', { kind: 'node' }))
    const operator = await readPair(await trial.issue('operator', { kind: 'operator', team: 'permits' as TeamName }))
    const strangerTrial = await TestKeys.create(now)
    const stranger = await readPair(await strangerTrial.issue('stranger', { kind: 'node' }))
    const results: string[] = []
    const holders = { node, operator, stranger }
    for (const [name, server] of Object.entries(holders)) {
      const tls = { cert: server.certificate, key: server.key, ca: server.authority, requestCert: true, rejectUnauthorized: true }
      const keys: INodeKeys = { material: node, onReloaded: () => ({ dispose: () => undefined }) }
      const setup = new Setup((socket, id) => socket.write(responseHead(id, 'content-length: 0')), undefined, keys, tls)
      setup.address = await setup.raw.listen()
      for (const host of ['status', 'fees', '10.0.0.1']) {
        const result = await setup.run(setup.createCall(new FakeRequest('GET', '/status/1', { host })))
        results.push(`${name} certificate at the gate, host ${host} -> ${result}, ${setup.raw.connections} connections`)
      }
      await setup.close()
    }
    expect(results).toMatchSnapshot()
  })
})

async function readPair (names: IKeyFileNames): Promise<INodeKeys['material']> {
  const [certificate, key, authority] = await Promise.all([readFile(names.certificate), readFile(names.key), readFile(names.authority)])
  return { certificate, key, authority }
}
