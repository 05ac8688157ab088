/** Guards against requests that end one endpoint after the other, and against innocent requests that stay refused. */
import { expect } from 'chai'
import { MetricsService } from '../../common/MetricsService.js'
import type { Milliseconds } from '../../common/Types.js'
import { ManualClock } from '../../../testing/ManualClock.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import type { CrashId, ICrashRecord, ICrashReport, NodeName } from '../Types.js'
import { CrashRegistry, MAXIMUM_PUBLISHED_CRASHES } from './CrashRegistry.js'
import { DEFAULT_QUARANTINE_OPTIONS } from './QuarantineRules.js'
import { RequestIdentity } from './RequestIdentity.js'

const SECOND_MS = 1_000 as Milliseconds
const FIRST_TRIAL_MS = DEFAULT_QUARANTINE_OPTIONS.firstTrialDelay

describe('CrashRegistry', () => {
  const request = new RequestIdentity({ method: 'PUT', path: '/fee', fields: ['host', 'h'], body: Buffer.from('crash') })
  const other = new RequestIdentity({ method: 'PUT', path: '/fee', fields: ['host', 'h'], body: Buffer.from('other') })
  let clock: ManualClock
  let fleet: CrashRegistry[]
  let log: RecordingLog
  let crashCount: number

  beforeEach(() => {
    clock = new ManualClock()
    log = new RecordingLog()
    crashCount = 0
    fleet = []
    for (let number = 0; number < 3; number++) addNode()
  })

  afterEach(() => { for (const node of fleet) node.dispose() })

  function addNode (): CrashRegistry {
    const node = new CrashRegistry({ self: nameOf(fleet.length), clock, log, metrics: new MetricsService() })
    fleet.push(node)
    return node
  }

  function nameOf (number: number): NodeName {
    return `node-${number}` as NodeName
  }

  function crashOf ({ fingerprint }: RequestIdentity, weight: 1 | 2): ICrashRecord {
    return { id: `crash-${String(crashCount++).padStart(10, '0')}` as CrashId, fingerprint, weight }
  }

  function crashAt (number: number, weight: 1 | 2, identity = request): ICrashRecord {
    const crash = crashOf(identity, weight)
    fleet[number]?.recordOwn(crash, clock.now())
    return crash
  }

  /** Delivers the rows of all nodes, except of those that are cut off, to all others. */
  function exchange (cutOff: readonly number[] = []): void {
    const connected = fleet.map((registry, number) => ({ registry, number })).filter(({ number }) => !cutOff.includes(number))
    // Twice, since a node may change its row after it has read those of the others.
    for (let round = 0; round < 2; round++) {
      const reports = connected.map(({ registry, number }): [NodeName, ICrashReport | undefined] => [nameOf(number), registry.report])
      for (const { registry } of connected) {
        for (const [name, report] of reports) registry.applyReport(name, report, clock.now())
      }
    }
  }

  function standings (identity = request): string[] {
    return fleet.map((registry) => registry.standingOf(identity).kind)
  }

  function refusalSeconds (): Array<number | undefined> {
    const times = fleet.map((registry) => registry.refusalTime(request, clock.now()))
    return times.map((time) => time === undefined ? undefined : time / SECOND_MS)
  }

  it('quarantines a request everywhere after three crashes at three nodes, and no other request', () => {
    const steps = [0, 1, 2].map((number) => {
      crashAt(number, 1)
      exchange()
      return standings()
    })
    expect(steps).toMatchSnapshot()
    expect(standings(other)).to.deep.equal(['clear', 'clear', 'clear'])
    expect(refusalSeconds()).to.deep.equal([10, 10, 10])
  })

  it('quarantines a request after two crashes under which it ran alone', () => {
    crashAt(0, 2)
    exchange()
    crashAt(1, 2)
    exchange()
    expect(standings()).to.deep.equal(['quarantined', 'quarantined', 'quarantined'])
  })

  it('counts a crash once if its node and the calling node report it', async () => {
    const crash = crashAt(0, 2)
    fleet[1]?.recordReceived(crash, nameOf(0), clock.now())
    await clock.advance(2 * SECOND_MS)
    exchange()
    expect(standings()).to.deep.equal(['suspect', 'suspect', 'suspect'])
  })

  it('publishes a crash through the calling node if the node that saw it is cut off', async () => {
    for (let number = 0; number < 2; number++) fleet[1]?.recordReceived(crashAt(0, 2), nameOf(0), clock.now())
    await clock.advance(2 * SECOND_MS)
    exchange([0])
    expect(standings()[2]).to.equal('quarantined')
  })

  it('is known to a node that starts afterwards, and to a restarted one', () => {
    crashAt(0, 2)
    crashAt(1, 2)
    const report = fleet[1]?.report
    exchange()
    addNode()
    exchange()
    expect(standings()).to.deep.equal(['quarantined', 'quarantined', 'quarantined', 'quarantined'])
    const restarted = addNode()
    if (report !== undefined) restarted.restore(report, clock.now())
    expect(restarted.standingOf(request).kind).to.equal('suspect')
    expect(restarted.report).to.deep.equal(report)
  })

  it('keeps the crashes of a node whose row was removed', () => {
    crashAt(0, 2)
    crashAt(1, 2)
    exchange()
    exchange([0, 1])
    expect(standings()[2]).to.equal('quarantined')
  })

  it('serves a request again everywhere once it has succeeded anywhere', () => {
    for (const number of [0, 1, 2]) crashAt(number, 1)
    exchange()
    fleet[2]?.recordSuccess(request, clock.now())
    exchange()
    expect(standings()).to.deep.equal(['clear', 'clear', 'clear'])
    expect(fleet.map((registry) => registry.report?.crashes)).to.deep.equal([undefined, undefined, []])
  })

  it('publishes the success of a request that only other nodes count as quarantined', () => {
    crashAt(0, 1)
    crashAt(1, 1)
    exchange()
    fleet[2]?.recordSuccess(request, clock.now())
    crashAt(0, 1)
    exchange()
    expect(standings()).to.deep.equal(['quarantined', 'quarantined', 'suspect'])
    fleet[2]?.recordSuccess(request, clock.now())
    exchange()
    expect(standings()).to.deep.equal(['clear', 'clear', 'clear'])
  })

  it('withdraws a clearance once no node reports the crashes any more', async () => {
    for (const number of [0, 1]) crashAt(number, 2)
    exchange()
    fleet[2]?.recordSuccess(request, clock.now())
    exchange()
    expect(fleet[2]?.report?.cleared).to.have.length(2)
    await clock.advance(70 * SECOND_MS)
    expect(fleet[2]?.report).to.equal(undefined)
  })

  it('permits trials at growing intervals, and at most three in seven minutes', async () => {
    for (const number of [0, 1, 2]) crashAt(number, 1)
    exchange()
    const trials: number[] = []
    for (let second = 0; second <= 440; second++) {
      if (fleet[0]?.refusalTime(request, clock.now()) === undefined) {
        trials.push(second)
        fleet[0]?.beginTrial(request, clock.now())
        crashAt(0, 1)
        exchange()
      }
      await clock.advance(SECOND_MS)
    }
    expect(trials).to.deep.equal([10, 70, 430])
  })

  it('refuses identical requests while a trial has no result', async () => {
    for (const number of [0, 1, 2]) crashAt(number, 1)
    exchange()
    await clock.advance(FIRST_TRIAL_MS)
    expect(refusalSeconds()).to.deep.equal([undefined, undefined, undefined])
    fleet[0]?.beginTrial(request, clock.now())
    expect(refusalSeconds()[0]).to.equal(60)
  })

  it('forgets a suspected request after ten minutes without a crash', async () => {
    crashAt(0, 2)
    exchange()
    await clock.advance(DEFAULT_QUARANTINE_OPTIONS.suspicion)
    await clock.advance(10 * SECOND_MS)
    expect(standings()).to.deep.equal(['clear', 'clear', 'clear'])
    expect(fleet.map((registry) => registry.report)).to.deep.equal([undefined, undefined, undefined])
  })

  it('publishes a bounded number of crashes, those of quarantined requests first', () => {
    crashAt(0, 2)
    crashAt(0, 2)
    for (let number = 0; number < 2 * MAXIMUM_PUBLISHED_CRASHES; number++) {
      crashAt(0, 1, new RequestIdentity({ method: 'GET', path: `/${number}`, fields: [], body: undefined }))
    }
    const published = fleet[0]?.report?.crashes ?? []
    expect(published).to.have.length(MAXIMUM_PUBLISHED_CRASHES)
    expect(published.filter(({ fingerprint }) => fingerprint === request.fingerprint)).to.have.length(2)
  })
})
