/** Routing, retries and outcomes of whole calls, with gates that tests script. */
import { expect } from 'chai'
import { Readable } from 'node:stream'
import { ManualClock, settlePromises } from '../../testing/ManualClock.js'
import { RecordingLog } from '../../testing/RecordingLog.js'
import {
  createActive, createEndpoint, createRoute, createSnapshot, FakeMembership, FakeRequest, LIMIT, POOL, RecordingSink, reference, RETRY
} from '../../testing/RoutingFixtures.js'
import { ScriptedGates, type GateStep } from '../../testing/ScriptedGates.js'
import { InvariantService } from '../common/InvariantService.js'
import { MetricsService } from '../common/MetricsService.js'
import { RandomService } from '../common/RandomService.js'
import type { FailureDomain, Milliseconds, NodeId, Region, ServiceName } from '../common/Types.js'
import type { IRoute, ISnapshot, Resource } from '../documents/Types.js'
import type { CallOutcome, NotRunReason } from '../gate/Types.js'
import { REPLAY_LIMIT_BYTES } from './CallBody.js'
import { RouterService } from './RouterService.js'

const SEED = 11

/** A router over scripted gates. */
class Bench {
  public readonly clock = new ManualClock()
  public readonly log = new RecordingLog()
  public readonly metrics = new MetricsService()
  public readonly invariants = new InvariantService({ log: this.log, metrics: this.metrics })
  public readonly membership: FakeMembership
  public readonly gates: ScriptedGates
  public readonly router: RouterService
  public readonly burn: boolean[] = []
  public snapshot: ISnapshot

  constructor (script: readonly GateStep[], routes: readonly IRoute[] = [createRoute()], resources?: readonly Resource[], endpoints = ['a', 'b', 'c']) {
    this.gates = new ScriptedGates(script, this.clock)
    this.membership = new FakeMembership(endpoints.map((id) => createEndpoint(id)))
    this.snapshot = createSnapshot(createActive(routes, resources))
    this.router = new RouterService({
      snapshots: { get current () { return bench.snapshot } },
      membership: this.membership,
      remoteGates: this.gates,
      location: { failureDomain: 'north' as FailureDomain, region: 'east' as Region },
      self: 'node-a' as NodeId,
      localGate: this.gates.localGate,
      burn: { record: (_service: ServiceName, isGood: boolean) => { this.burn.push(isGood) } },
      clock: this.clock,
      random: new RandomService(SEED),
      log: this.log,
      metrics: this.metrics,
      invariants: this.invariants
    })

    const bench = this
  }

  /** Runs a request while the clock moves; returns its outcome in words. */
  public async send (request = new FakeRequest(), sink = new RecordingSink()): Promise<string> {
    const outcomes: CallOutcome[] = []
    this.router.route(request, sink, this.clock.now()).then((result) => outcomes.push(result))
    for (let step = 0; step < 200 && outcomes.length === 0; step++) await this.clock.advance(5)
    const [outcome] = outcomes
    if (outcome === undefined) return 'no outcome'
    const detail = outcome.kind === 'answered' ? `${outcome.status} ${sink.ending} ${sink.text}` : outcome.reason
    return `${outcome.kind}: ${detail} after ${this.gates.calls.length} attempts`
  }
}

const OK: GateStep = { answer: 200 }
const LOST: GateStep = { outcome: { kind: 'unknown', reason: 'connection broke', step: 'test' } }

function refused (reason: NotRunReason): GateStep {
  return { outcome: { kind: 'not-run', reason, step: 'test' } }
}

describe('RouterService', () => {
  it('takes the local gate while it has a free slot, and else the balancer', async () => {
    const bench = new Bench([])
    for (let number = 0; number < 5; number++) await bench.send()
    expect(bench.gates.calls.map((call) => call.at)).to.deep.equal(['local', 'local', 'local', 'local', 'local'])
    bench.gates.used = 9
    for (let number = 0; number < 5; number++) await bench.send()
    expect(bench.gates.calls.slice(5).every((call) => call.at !== 'local')).to.equal(true)
  })

  it('decides each kind of failure of the first attempt by the rules of the route', async () => {
    const journal: string[] = []
    const kinds: ReadonlyArray<readonly [string, GateStep]> = [
      ['lost', LOST], ['shed with 503', { answer: 503 }], ['answered 500', { answer: 500 }],
      ...(['overloaded', 'draining', 'unreachable', 'not-ready', 'no-endpoint', 'deadline', 'quarantined', 'store-unavailable', 'key-conflict'] as const)
        .map((reason) => [reason, refused(reason)] as const)
    ]
    for (const repeat of ['idempotent', 'non-idempotent', 'at-most-once'] as const) {
      for (const [name, step] of kinds) {
        const bench = new Bench([step, OK], [createRoute({ repeat })])
        journal.push(`${repeat}, ${name} -> ${await bench.send(new FakeRequest('GET', '/status/1', { 'idempotency-key': 'k' }))}`)
      }
    }
    expect(journal).toMatchSnapshot()
  })

  it('retries at the first hop only, and never from the hops behind it', async () => {
    const bench = new Bench([LOST, OK])
    expect(await bench.send(new FakeRequest('GET', '/status/1', { 'savoryknot-depth': '1' }))).to.equal('unknown: connection broke after 1 attempts')
    expect(bench.gates.calls[0]?.call.depth).to.equal(1)
    expect(bench.burn).to.be.empty
  })

  it('never calls a request not run once an attempt may have run', async () => {
    expect(await new Bench([LOST, refused('draining'), refused('draining'), refused('draining')]).send()).to.match(/^unknown: an earlier attempt may have run/)
    expect(await new Bench([{ answer: 503 }, refused('quarantined')]).send()).to.match(/^unknown: an earlier attempt may have run/)
  })

  it('stops retrying when the budget is spent, and says so once', async () => {
    const bench = new Bench(Array.from({ length: 200 }, () => LOST))
    for (let number = 0; number < 50; number++) await bench.send()
    const retries = bench.gates.calls.length - 50
    const deeper = new Bench(Array.from({ length: 200 }, () => LOST))
    for (let number = 0; number < 50; number++) await deeper.send(new FakeRequest('GET', '/status/1', { 'savoryknot-depth': '1' }))
    for (let number = 0; number < 10; number++) await deeper.send()
    expect(deeper.gates.calls.length - 60).to.be.at.most(1 + 10 * RETRY.budget / 100)
    expect(retries).to.be.at.most(1 + 50 * RETRY.budget / 100)
    expect(bench.log.events.filter((event) => event.name === 'retry-budget-spent')).to.have.length(1)
  })

  it('never extends a deadline and starts nothing that is over', async () => {
    const bench = new Bench([OK, OK, OK])
    await bench.send(new FakeRequest('GET', '/status/1', { 'savoryknot-deadline-ms': '50' }))
    await bench.send(new FakeRequest('GET', '/status/1', { 'savoryknot-deadline-ms': '999999' }))
    expect(bench.gates.calls.map((call) => call.remaining)).to.deep.equal([50, 800])
    expect(await bench.send(new FakeRequest('GET', '/status/1', { 'savoryknot-deadline-ms': '0' }))).to.equal('not-run: deadline after 2 attempts')
    expect(await bench.send(new FakeRequest('GET', '/status/1', { 'savoryknot-deadline-ms': '-1' }))).to.equal('not-run: malformed after 2 attempts')
  })

  it('refuses before any attempt what the document does not allow', async () => {
    const journal: string[] = []
    const atMostOnce = createRoute({ repeat: 'at-most-once', method: 'POST', path: '/fee', limit: reference('sizes') })
    const dangling = createRoute({ path: '/dangling', target: reference('missing') })
    const bench = new Bench([], [atMostOnce, dangling], [POOL, RETRY, { ...LIMIT, rate: 3 }])
    const key = { 'idempotency-key': 'k' }
    const requests = [
      new FakeRequest('GET', '/nothing'), new FakeRequest('POST', '/fee'), new FakeRequest('POST', '/fee', { 'idempotency-key': 'a b' }),
      new FakeRequest('POST', '/fee', key, Readable.from([]), 1_001), new FakeRequest('GET', '/dangling'), new FakeRequest('GET', '/../fee'),
      new FakeRequest('POST', '/fee', key), new FakeRequest('POST', '/fee', key), new FakeRequest('POST', '/fee', key), new FakeRequest('POST', '/fee', key)
    ]
    for (const request of requests) journal.push(`${request.method} ${request.path} -> ${await bench.send(request)}`)
    bench.membership.set([])
    bench.snapshot = createSnapshot(createActive([createRoute()]))
    journal.push(await bench.send(), await bench.send())
    bench.snapshot = createSnapshot({ ...createActive([]), document: undefined, isTombstone: true })
    journal.push(await bench.send())
    expect(journal).toMatchSnapshot()
    expect(bench.invariants.breaches).to.equal(1)
    expect(bench.log.events.map((event) => event.name)).to.deep.equal(['invariant-breached', 'no-endpoint'])
  })

  it('keeps one snapshot for a request while another one comes into force', async () => {
    const bench = new Bench([LOST, OK])
    const outcome = bench.send()
    bench.snapshot = createSnapshot(createActive([createRoute({ path: '/other' })], undefined, 2))
    expect(await outcome).to.equal('answered: 200 whole from 2 after 2 attempts')
    expect(bench.gates.calls.map((call) => call.call.version)).to.deep.equal([1, 1])
  })

  it('goes to another endpoint when the chosen one vanishes, and not back for a while', async () => {
    const bench = new Bench([refused('unreachable'), OK, OK, OK, OK])
    bench.gates.used = 9
    expect(await bench.send()).to.equal('answered: 200 whole from 2 after 2 attempts')
    for (let number = 0; number < 3; number++) await bench.send()
    const [gone, ...others] = bench.gates.calls.map((call) => call.at)
    expect(others).to.not.include(gone)
  })

  it('sends a small body whole again, and a stream only once', async () => {
    const bench = new Bench([refused('draining'), { answer: 200, echo: true }], [createRoute({ method: 'POST' })])
    const body = Buffer.from('site approval')
    expect(await bench.send(new FakeRequest('POST', '/status/1', {}, Readable.from([body]), body.length)))
      .to.equal('answered: 200 whole site approval after 2 attempts')
    const large = Buffer.alloc(REPLAY_LIMIT_BYTES + 1)
    const streamed = new Bench([{ ...refused('draining'), readsBody: true }, OK], [createRoute({ method: 'POST' })])
    expect(await streamed.send(new FakeRequest('POST', '/status/1', {}, Readable.from([large], { objectMode: false }))))
      .to.equal('not-run: draining after 1 attempts')
    const limited = new Bench([OK, OK], [createRoute({ method: 'POST', limit: reference('sizes') })])
    for (const source of [large, large.subarray(0, 1_001)]) {
      expect(await limited.send(new FakeRequest('POST', '/status/1', {}, Readable.from([source], { objectMode: false }))))
        .to.equal('not-run: too-large after 0 attempts')
    }
  })

  it('gives up on a body that does not come before the deadline', async () => {
    const bench = new Bench([], [createRoute({ method: 'POST' })])
    expect(await bench.send(new FakeRequest('POST', '/status/1', {}, new Readable({ read: () => undefined }), 10))).to.equal('not-run: deadline after 0 attempts')
  })

  it('breaks off an answer above the limit, and takes the headers between nodes off', async () => {
    const route = createRoute({ limit: reference('sizes') })
    const big = new Bench([{ answer: 200, text: 'x'.repeat(LIMIT.responseBytes + 1) }], [route])
    const sink = new RecordingSink()
    expect(await big.send(undefined, sink)).to.equal('unknown: answer too large after 1 attempts')
    expect(sink.ending).to.equal('broken')
    const plain = new RecordingSink()
    await new Bench([{ answer: 200, headers: { 'savoryknot-occupancy': '3/9', 'savoryknot-request-id': 'x', etag: '"1"' } }], [route]).send(undefined, plain)
    expect(plain.headers).to.deep.equal({ etag: '"1"' })
  })

  it('spares an endpoint that sheds, and ejects one that hangs', async () => {
    const bench = new Bench([], [createRoute({ retry: undefined, deadline: 20 as Milliseconds })], undefined, ['x', 'y', 'z'])
    bench.gates.behaviour = (at) => at === 'node-x' ? { outcome: { kind: 'unknown', reason: 'deadline', step: 'test' } } : OK
    for (let number = 0; number < 60; number++) await bench.send()
    expect(bench.log.events.map((event) => event.name)).to.deep.equal(['endpoint-ejected'])
    expect(bench.gates.calls.slice(-10).some((call) => call.at === 'node-x')).to.equal(false)
  })

  it('opens connections to near endpoints of a service in use and closes those to the vanished', async () => {
    const bench = new Bench([OK])
    await bench.send()
    bench.membership.set([createEndpoint('a'), createEndpoint('d'), createEndpoint('far', ['x', 'y'])])
    expect(bench.gates.warmed).to.deep.equal(['node-d'])
    bench.membership.set([createEndpoint('q')], 'other' as ServiceName)
    await settlePromises()
    expect(bench.gates.warmed).to.deep.equal(['node-d'])
  })
})
