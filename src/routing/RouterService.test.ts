/** Routing, retries and outcomes of calls, with scripted gates. */
import { expect } from 'chai'
import { Readable } from 'node:stream'
import { ManualClock, settlePromises } from '../../testing/ManualClock.js'
import { RecordingLog } from '../../testing/RecordingLog.js'
import {
  createActiveDocument, createEndpoint, createRoute, createSnapshot, FakeMembership, FakeRequest, LIMIT, POOL, RecordingSink,
  reference, RETRY
} from '../../testing/RoutingFixtures.js'
import { ScriptedGates, type GateStep } from '../../testing/ScriptedGates.js'
import { InvariantService } from '../common/InvariantService.js'
import { MetricsService } from '../common/MetricsService.js'
import { RandomService } from '../common/RandomService.js'
import type { FailureDomain, Milliseconds, NodeId, Region, ServiceName } from '../common/Types.js'
import type { IRoute, ISnapshot, Resource } from '../documents/Types.js'
import type { CallOutcome, NotRunReason } from '../gate/Types.js'
import { MAXIMUM_REPLAYABLE_BYTES } from './CallBody.js'
import { RouterService } from './RouterService.js'

const SEED = 11

/** A router with scripted gates and a manual clock. */
class RouterRig {
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
    this.snapshot = createSnapshot(createActiveDocument(routes, resources))
    this.router = new RouterService({
      snapshots: { get current () { return rig.snapshot } },
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

    const rig = this
  }

  /** Runs a request while the clock advances; returns a description of its outcome. */
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
  it('chooses the local gate while it has a free slot, and otherwise an endpoint of the balancer', async () => {
    const rig = new RouterRig([])
    for (let number = 0; number < 5; number++) await rig.send()
    expect(rig.gates.calls.map((call) => call.at)).to.deep.equal(['local', 'local', 'local', 'local', 'local'])
    rig.gates.used = 9
    for (let number = 0; number < 5; number++) await rig.send()
    expect(rig.gates.calls.slice(5).every((call) => call.at !== 'local')).to.equal(true)
  })

  it('retries or reports each failure of the first attempt according to the idempotency of the route', async () => {
    const results: string[] = []
    const kinds: ReadonlyArray<readonly [string, GateStep]> = [
      ['lost', LOST], ['shed with 503', { answer: 503 }], ['answered 500', { answer: 500 }],
      ...(['overloaded', 'draining', 'unreachable', 'not-ready', 'no-endpoint', 'deadline', 'quarantined', 'store-unavailable', 'key-conflict'] as const)
        .map((reason) => [reason, refused(reason)] as const)
    ]
    for (const repeat of ['idempotent', 'non-idempotent', 'at-most-once'] as const) {
      for (const [name, step] of kinds) {
        const rig = new RouterRig([step, OK], [createRoute({ repeat })])
        results.push(`${repeat}, ${name} -> ${await rig.send(new FakeRequest('GET', '/status/1', { 'idempotency-key': 'k' }))}`)
      }
    }
    expect(results).toMatchSnapshot()
  })

  it('does not retry a call behind the first hop, and does not count it for the objective', async () => {
    const rig = new RouterRig([LOST, OK])
    expect(await rig.send(new FakeRequest('GET', '/status/1', { 'savoryknot-depth': '1' }))).to.equal('unknown: connection broke after 1 attempts')
    expect(rig.gates.calls[0]?.call.depth).to.equal(1)
    expect(rig.burn).to.be.empty
  })

  it('never reports a call as not run after an attempt that may have run', async () => {
    expect(await new RouterRig([LOST, refused('draining'), refused('draining'), refused('draining')]).send()).to.match(/^unknown: an earlier attempt may have run/)
    expect(await new RouterRig([{ answer: 503 }, refused('quarantined')]).send()).to.match(/^unknown: an earlier attempt may have run/)
  })

  it('stops retrying when the retry budget is exhausted, and logs this once', async () => {
    const rig = new RouterRig(Array.from({ length: 200 }, () => LOST))
    for (let number = 0; number < 50; number++) await rig.send()
    const retries = rig.gates.calls.length - 50
    const deeper = new RouterRig(Array.from({ length: 200 }, () => LOST))
    for (let number = 0; number < 50; number++) await deeper.send(new FakeRequest('GET', '/status/1', { 'savoryknot-depth': '1' }))
    for (let number = 0; number < 10; number++) await deeper.send()
    expect(deeper.gates.calls.length - 60).to.be.at.most(1 + 10 * RETRY.budget / 100)
    expect(retries).to.be.at.most(1 + 50 * RETRY.budget / 100)
    expect(rig.log.events.filter((event) => event.name === 'retry-budget-spent')).to.have.length(1)
  })

  it('never extends a deadline, and starts no call without remaining time or with a malformed deadline', async () => {
    const rig = new RouterRig([OK, OK, OK])
    await rig.send(new FakeRequest('GET', '/status/1', { 'savoryknot-deadline-ms': '50' }))
    await rig.send(new FakeRequest('GET', '/status/1', { 'savoryknot-deadline-ms': '999999' }))
    expect(rig.gates.calls.map((call) => call.remaining)).to.deep.equal([50, 800])
    expect(await rig.send(new FakeRequest('GET', '/status/1', { 'savoryknot-deadline-ms': '0' }))).to.equal('not-run: deadline after 2 attempts')
    expect(await rig.send(new FakeRequest('GET', '/status/1', { 'savoryknot-deadline-ms': '-1' }))).to.equal('not-run: malformed after 2 attempts')
  })

  it('refuses requests that the document does not allow before any attempt', async () => {
    const results: string[] = []
    const atMostOnce = createRoute({ repeat: 'at-most-once', method: 'POST', path: '/fee', limit: reference('sizes') })
    const dangling = createRoute({ path: '/dangling', target: reference('missing') })
    const rig = new RouterRig([], [atMostOnce, dangling], [POOL, RETRY, { ...LIMIT, rate: 3 }])
    const key = { 'idempotency-key': 'k' }
    const requests = [
      new FakeRequest('GET', '/nothing'), new FakeRequest('POST', '/fee'), new FakeRequest('POST', '/fee', { 'idempotency-key': 'a b' }),
      new FakeRequest('POST', '/fee', key, Readable.from([]), 1_001), new FakeRequest('GET', '/dangling'), new FakeRequest('GET', '/../fee'),
      new FakeRequest('POST', '/fee', key), new FakeRequest('POST', '/fee', key), new FakeRequest('POST', '/fee', key), new FakeRequest('POST', '/fee', key)
    ]
    for (const request of requests) results.push(`${request.method} ${request.path} -> ${await rig.send(request)}`)
    rig.membership.set([])
    rig.snapshot = createSnapshot(createActiveDocument([createRoute()]))
    results.push(await rig.send(), await rig.send())
    rig.snapshot = createSnapshot({ ...createActiveDocument([]), document: undefined, isTombstone: true })
    results.push(await rig.send())
    expect(results).toMatchSnapshot()
    expect(rig.invariants.breaches).to.equal(1)
    expect(rig.log.events.map((event) => event.name)).to.deep.equal(['invariant-breached', 'no-endpoint'])
  })

  it('routes all attempts of a call by the snapshot at its start, even if a newer snapshot becomes active', async () => {
    const rig = new RouterRig([LOST, OK])
    const outcome = rig.send()
    rig.snapshot = createSnapshot(createActiveDocument([createRoute({ path: '/other' })], undefined, 2))
    expect(await outcome).to.equal('answered: 200 whole from 2 after 2 attempts')
    expect(rig.gates.calls.map((call) => call.call.version)).to.deep.equal([1, 1])
  })

  it('selects another endpoint if the chosen one is unreachable, and sends no calls to the unreachable one for a while', async () => {
    const rig = new RouterRig([refused('unreachable'), OK, OK, OK, OK])
    rig.gates.used = 9
    expect(await rig.send()).to.equal('answered: 200 whole from 2 after 2 attempts')
    for (let number = 0; number < 3; number++) await rig.send()
    const [unreachable, ...others] = rig.gates.calls.map((call) => call.at)
    expect(others).to.not.include(unreachable)
  })

  it('resends a small body completely, sends a streamed body only once, and refuses bodies above the limit', async () => {
    const rig = new RouterRig([refused('draining'), { answer: 200, echo: true }], [createRoute({ method: 'POST' })])
    const body = Buffer.from('site approval')
    expect(await rig.send(new FakeRequest('POST', '/status/1', {}, Readable.from([body]), body.length)))
      .to.equal('answered: 200 whole site approval after 2 attempts')
    const large = Buffer.alloc(MAXIMUM_REPLAYABLE_BYTES + 1)
    const streamed = new RouterRig([{ ...refused('draining'), readsBody: true }, OK], [createRoute({ method: 'POST' })])
    expect(await streamed.send(new FakeRequest('POST', '/status/1', {}, Readable.from([large], { objectMode: false }))))
      .to.equal('not-run: draining after 1 attempts')
    const limited = new RouterRig([OK, OK], [createRoute({ method: 'POST', limit: reference('sizes') })])
    for (const source of [large, large.subarray(0, 1_001)]) {
      expect(await limited.send(new FakeRequest('POST', '/status/1', {}, Readable.from([source], { objectMode: false }))))
        .to.equal('not-run: too-large after 0 attempts')
    }
  })

  it('refuses a call whose body does not arrive before the deadline', async () => {
    const rig = new RouterRig([], [createRoute({ method: 'POST' })])
    expect(await rig.send(new FakeRequest('POST', '/status/1', {}, new Readable({ read: () => undefined }), 10))).to.equal('not-run: deadline after 0 attempts')
  })

  it('aborts a response above the size limit, and removes the headers between nodes', async () => {
    const route = createRoute({ limit: reference('sizes') })
    const big = new RouterRig([{ answer: 200, text: 'x'.repeat(LIMIT.responseBytes + 1) }], [route])
    const sink = new RecordingSink()
    expect(await big.send(undefined, sink)).to.equal('unknown: answer too large after 1 attempts')
    expect(sink.ending).to.equal('broken')
    const plain = new RecordingSink()
    await new RouterRig([{ answer: 200, headers: { 'savoryknot-occupancy': '3/9', 'savoryknot-request-id': 'x', etag: '"1"' } }], [route]).send(undefined, plain)
    expect(plain.headers).to.deep.equal({ etag: '"1"' })
  })

  it('ejects an endpoint whose calls exceed their deadline', async () => {
    const rig = new RouterRig([], [createRoute({ retry: undefined, deadline: 20 as Milliseconds })], undefined, ['x', 'y', 'z'])
    rig.gates.behaviour = (at) => at === 'node-x' ? { outcome: { kind: 'unknown', reason: 'deadline', step: 'test' } } : OK
    for (let number = 0; number < 60; number++) await rig.send()
    expect(rig.log.events.map((event) => event.name)).to.deep.equal(['endpoint-ejected'])
    expect(rig.gates.calls.slice(-10).some((call) => call.at === 'node-x')).to.equal(false)
  })

  it('opens connections only to endpoints of services in use in the same failure domain', async () => {
    const rig = new RouterRig([OK])
    await rig.send()
    rig.membership.set([createEndpoint('a'), createEndpoint('d'), createEndpoint('far', ['x', 'y'])])
    expect(rig.gates.warmed).to.deep.equal(['node-d'])
    rig.membership.set([createEndpoint('q')], 'other' as ServiceName)
    await settlePromises()
    expect(rig.gates.warmed).to.deep.equal(['node-d'])
  })
})
