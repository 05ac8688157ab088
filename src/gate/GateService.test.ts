/** Admission under overload, drain, health probes, and requests that crash their upstream. */
import { expect } from 'chai'
import { FakeBroadcast } from '../../testing/gate/FakeMembership.js'
import { createFakeDocument } from '../../testing/gate/FakeSnapshots.js'
import { FaultyTable } from '../../testing/gate/FaultyTable.js'
import { GateRig, summarise, type IRigResponse } from '../../testing/gate/GateRig.js'
import { ManualClock } from '../../testing/ManualClock.js'
import { ClockService } from '../common/ClockService.js'
import type { Milliseconds, RequestId, Timestamp } from '../common/Types.js'
import type { RequestClass } from '../documents/Types.js'
import { EmbeddedTableService } from '../platform/EmbeddedTableService.js'
import { AdmissionQueue } from './AdmissionQueue.js'
import { ServiceTimeEstimate } from './ServiceTimeEstimate.js'
import { SlotCounter } from './SlotCounter.js'
import { StartedRequests } from './StartedRequests.js'

/** Counts responses by status, outcome and reason. */
function countByOutcome (responses: readonly IRigResponse[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const response of responses) counts[summarise(response)] = (counts[summarise(response)] ?? 0) + 1
  return counts
}

describe('AdmissionQueue', () => {
  const clock = new ManualClock()
  const slots = new SlotCounter()
  const queue = new AdmissionQueue(slots, clock)
  const decisions: string[] = []
  /** Requests a slot and records the decision. */
  function admit (id: string, requestClass: RequestClass, startIn: number, isIsolated = false): void {
    const startBy = clock.now() + startIn as Timestamp
    const admission = queue.admit({ requestId: id as RequestId, class: requestClass, startBy, isIsolated }, clock.now())
    const record = (reason: string | undefined): void => { decisions.push(`${id}: ${reason ?? 'slot'}`) }
    if (admission instanceof Promise) admission.then(record)
    else record(admission)
  }

  it('orders requests by class and deadline, sheds background requests first, enforces deadlines, and isolates requests', async () => {
    slots.resize(2)
    queue.resize({ length: 3, timeout: 100 as Milliseconds })
    admit('running-1', 'normal', 500)
    admit('running-2', 'normal', 500)
    admit('background', 'background', 400)
    admit('normal-late', 'normal', 400)
    admit('normal-soon', 'normal', 300)
    admit('critical', 'critical', 500)
    admit('background-2', 'background', 50)
    admit('too-late', 'critical', -1)
    await clock.advance(0)
    queue.release(clock.now())
    queue.release(clock.now())
    admit('alone', 'critical', 200, true)
    admit('behind', 'normal', 20)
    await clock.advance(30)
    queue.release(clock.now())
    queue.release(clock.now())
    admit('after', 'critical', 200)
    await clock.advance(10)
    queue.release(clock.now())
    await clock.advance(500)
    expect(decisions).toMatchSnapshot()
  })
})

describe('StartedRequests', () => {
  it('never reports a request as not started if its record may have been dropped, and keeps records for longer than the retention', () => {
    const started = new StartedRequests({ capacity: 2, retention: 100 as Milliseconds })
    const at = (time: number): Timestamp => time as Timestamp
    started.markStarted('a' as RequestId, at(0))
    started.markStarted('b' as RequestId, at(1))
    started.markStarted('c' as RequestId, at(2))
    expect(started.settle('c' as RequestId, at(3))).to.equal('started')
    expect(started.settle('unknown' as RequestId, at(4))).to.equal('started')
    expect(started.settle('a' as RequestId, at(150))).to.equal('started')
    const fresh = new StartedRequests({ capacity: 2, retention: 100 as Milliseconds })
    expect(fresh.settle('x' as RequestId, at(0))).to.equal('never-will-be')
    expect(fresh.markStarted('x' as RequestId, at(10_000))).to.equal(false)
  })
})

describe('ServiceTimeEstimate', () => {
  it('decays without observations, so that a slow phase does not cause refusals forever', () => {
    const estimate = new ServiceTimeEstimate()
    estimate.observe(800 as Milliseconds, 0 as Timestamp)
    expect([0, 1_000, 3_000, 11_000].map((time) => Math.round(estimate.value(time as Timestamp)))).to.deep.equal([800, 800, 200, 1])
  })
})

describe('Gate', () => {
  const rigs: GateRig[] = []
  /** Starts a rig that is stopped after the test. */
  async function start (rig: GateRig): Promise<GateRig> {
    rigs.push(rig)
    return await rig.start()
  }

  afterEach(async () => {
    const stopped = rigs.splice(0)
    await Promise.all(stopped.map((rig) => rig.stop()))
    for (const rig of stopped) expect(rig.invariants.breaches).to.equal(0)
  })

  it('never runs more requests than it has slots, and refuses requests as not run when the queue is full', async () => {
    const pool = { slots: 3, queue: 4, queueTimeout: 5_000 as Milliseconds }
    const rig = await start(new GateRig({ document: { pool } }))
    const many = (count: number, headers = {}): Array<Promise<IRigResponse>> => Array.from({ length: count }, () => rig.send({ headers }))
    const running = many(3, { 'x-fault': 'hang' })
    await rig.until(() => rig.gate.occupancy('status' as never)?.used === 3)
    const waiting = many(4)
    await rig.until(() => rig.gate.occupancy('status' as never)?.queued === 4)
    expect(countByOutcome(await Promise.all(many(13)))).to.deep.equal({ '503 not-run overloaded': 13 })
    expect(rig.upstream.started).to.equal(3)
    await Promise.all([...running, ...waiting])
    expect(rig.upstream.started).to.be.at.most(7)
    expect(rig.upstream.peak).to.be.at.most(3)
  })

  it('applies the slots, connections and limits of a new document', async () => {
    const rig = await start(new GateRig({ upstream: { slots: 50, serviceTimeMs: 500 }, document: { pool: { slots: 2, queue: 0 } } }))
    rig.snapshots.replace([createFakeDocument({ pool: { slots: 6, queue: 0, connections: 7 } })])
    const responses = await Promise.all(Array.from({ length: 10 }, () => rig.send()))
    expect(countByOutcome(responses)).to.deep.equal({ '200 answered': 6, '503 not-run overloaded': 4 })
    expect(rig.gate.endpoints('status' as never)[0]?.connections.open.size).to.be.at.most(7)
  })

  it('announces a drain first, finishes running requests, starts none after the notice period, and is then in the state left', async () => {
    const rig = await start(new GateRig({
      upstream: { serviceTimeMs: 150 },
      document: { pool: { slots: 2, queue: 4, queueTimeout: 2_000 as Milliseconds }, drainGraceMs: 10 },
      settings: { drainNotice: 60 as Milliseconds }
    }))
    const early = Array.from({ length: 3 }, () => rig.send({ route: 'file', body: 'x' }))
    await rig.until(() => rig.gate.occupancy('status' as never)?.queued === 1)
    const drained = rig.gate.drain(Date.now() as Timestamp)
    expect(rig.membership.state).to.equal('draining')
    await new Promise((resolve) => { setTimeout(resolve, 80) })
    const late = await rig.send()
    await drained
    expect(summarise(late)).to.equal('503 not-run draining')
    expect(countByOutcome(await Promise.all(early))).to.deep.equal({ '200 answered': 2, '503 not-run draining': 1 })
    expect(rig.membership.states).to.deep.equal(['warming', 'serving', 'draining', 'left'])
    expect(rig.log.events.map(({ name }) => name)).to.include('drain-grace-exceeded')
    expect(rig.upstream.cancelled).to.equal(0)
  })

  it('completes a drain even if its timer fires slightly before the clock reaches the time', async () => {
    /** Is 2 ms behind the timers. A clock with a resolution of one millisecond is also behind timers with a finer resolution. */
    class LaggingClock extends ClockService {
      public override now (): Timestamp {
        return super.now() - 2 as Timestamp
      }
    }
    const rig = await start(new GateRig({ clock: new LaggingClock(), settings: { drainNotice: 20 as Milliseconds } }))
    await rig.gate.drain(Date.now() as Timestamp)
    expect(rig.membership.state).to.equal('left')
  })

  it('starts no request whose claim is decided after the drain', async () => {
    const table = new FaultyTable(new EmbeddedTableService())
    const rig = await start(new GateRig({ table, settings: { drainNotice: 20 as Milliseconds } }))
    table.latencyMs = 120
    const late = rig.send({ route: 'pay', key: 'late', body: 'x' })
    await rig.until(() => rig.gate.claims.pending === 1)
    await rig.gate.drain(Date.now() as Timestamp)
    expect(rig.membership.state).to.equal('left')
    expect(summarise(await late)).to.equal('503 not-run draining')
    expect(rig.upstream.started).to.equal(0)
  })

  it('responds not-run to calls received after it was disposed without a drain', async () => {
    const rig = await start(new GateRig())
    rig.gate.dispose()
    expect(summarise(await rig.send({ deadlineMs: 300 }))).to.equal('503 not-run unreachable')
  })

  it('keeps serving despite failed health probes while responses are complete, and drains when the upstream reports that it is draining', async () => {
    // Well above the time of one response on a busy machine: between two probes there must be a complete response.
    const rig = await start(new GateRig({ document: { pool: { healthInterval: 100 as Milliseconds } } }))
    rig.upstream.health = 'always-ill'
    const probes = rig.upstream.probes
    while (rig.upstream.probes < probes + 10) expect(summarise(await rig.send())).to.equal('200 answered')
    expect(rig.membership.state).to.equal('serving')
    rig.upstream.health = 'draining'
    await rig.until(() => rig.membership.state === 'draining')
    expect(summarise(await rig.send())).to.equal('503 not-run draining')
    rig.upstream.health = 'truth'
    await rig.until(() => rig.membership.state === 'serving')
    expect(summarise(await rig.send())).to.equal('200 answered')
  })

  it('detects a crash when all connections are closed, and none when a single connection is lost', async () => {
    const rig = await start(new GateRig())
    await rig.send({ headers: { 'x-fault': 'cut-before-head' } })
    await new Promise((resolve) => { setTimeout(resolve, 60) })
    expect(rig.log.events.map(({ name }) => name)).not.to.include('upstream-crashed')
    await rig.send({ headers: { 'x-fault': 'crash' } })
    await rig.until(() => rig.log.events.some(({ name }) => name === 'upstream-crashed'))
    await rig.until(() => rig.membership.state === 'serving')
  })

  it('quarantines a request at every gate after its second crash, clears a request that caused none, and keeps serving', async () => {
    const broadcast = new FakeBroadcast()
    const first = await start(new GateRig({ name: 'first', broadcast, upstream: { serviceTimeMs: 20 } }))
    const second = await start(new GateRig({ name: 'second', broadcast }))
    const crash = { route: 'file', path: '/bad', body: 'bad', headers: { 'x-fault': 'crash' } }
    const innocent = { route: 'file', path: '/good', body: 'good' }
    const both = await Promise.all([first.send(crash), first.send(innocent)])
    expect(countByOutcome(both)).to.deep.equal({ '502 unknown upstream-crashed': 2 })
    await first.until(() => second.log.events.filter(({ name }) => name === 'request-suspect').length === 2)
    expect(summarise(await second.send(innocent))).to.equal('200 answered')
    await first.until(() => first.log.events.some(({ name }) => name === 'request-cleared'))
    expect(summarise(await second.send(crash))).to.equal('502 unknown upstream-crashed')
    await first.until(() => first.log.events.some(({ name }) => name === 'request-quarantined'))
    await first.until(() => first.membership.state === 'serving' && second.membership.state === 'serving')
    for (const rig of [first, second]) {
      expect(summarise(await rig.send(crash))).to.equal('503 not-run quarantined')
      expect(summarise(await rig.send(innocent))).to.equal('200 answered')
    }
    expect(first.upstream.crashes + second.upstream.crashes).to.equal(2)
  })

  it('ignores malformed suspect announcements', async () => {
    const broadcast = new FakeBroadcast()
    const rig = await start(new GateRig({ broadcast }))
    for (const payload of ['', '{', '{"fingerprint":"x"}', JSON.stringify({ fingerprint: 'x'.repeat(43), service: 'status', route: 7, standing: 'suspect' })]) {
      broadcast.publish('suspect', Buffer.from(payload))
    }
    await new Promise((resolve) => { setTimeout(resolve, 20) })
    expect(summarise(await rig.send())).to.equal('200 answered')
    expect(rig.log.events.map(({ name }) => name)).not.to.include('request-suspect')
  })
})
