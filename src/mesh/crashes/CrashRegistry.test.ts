/** Guards against requests that end one endpoint after the other, and against innocent requests that stay refused. */
import { expect } from 'chai'
import { MetricsService } from '../../common/MetricsService.js'
import type { Milliseconds } from '../../common/Types.js'
import { ManualClock } from '../../../testing/ManualClock.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import type { CrashId, CrashKind, ICrashRecord, ICrashReport, NodeName } from '../Types.js'
import { CrashRegistry, MAXIMUM_PUBLISHED_CRASHES } from './CrashRegistry.js'
import { DEFAULT_QUARANTINE_OPTIONS } from './QuarantineRules.js'
import { RequestIdentity } from './RequestIdentity.js'

/** Time until a changed report is published. */
const REPORT_DELAY_MS = 300 as Milliseconds
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

  function crashOf ({ fingerprint }: RequestIdentity, kind: CrashKind): ICrashRecord {
    return { id: `crash-${String(crashCount++).padStart(10, '0')}` as CrashId, fingerprint, kind }
  }

  function crashAt (number: number, kind: CrashKind, identity = request): ICrashRecord {
    const crash = crashOf(identity, kind)
    fleet[number]?.recordOwn(crash, clock.now())
    return crash
  }

  /** Delivers the rows of all nodes, except of those that are cut off, to all others. */
  async function exchange (cutOff: readonly number[] = []): Promise<void> {
    const connected = fleet.map((registry, number) => ({ registry, number })).filter(({ number }) => !cutOff.includes(number))
    // Twice, since a node may change its row after it has read those of the others.
    for (let round = 0; round < 2; round++) {
      await clock.advance(REPORT_DELAY_MS)
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

  it('quarantines a request everywhere after three crashes at three nodes, and no other request', async () => {
    const steps: string[][] = []
    for (const number of [0, 1, 2]) {
      crashAt(number, 'process')
      await exchange()
      steps.push(standings())
    }
    expect(steps).toMatchSnapshot()
    expect(standings(other)).to.deep.equal(['clear', 'clear', 'clear'])
    expect(refusalSeconds().every((seconds) => seconds !== undefined && seconds > 9 && seconds <= 10)).to.equal(true)
  })

  it('quarantines a request after two crashes under which it ran alone', async () => {
    crashAt(0, 'process-alone')
    await exchange()
    crashAt(1, 'process-alone')
    await exchange()
    expect(standings()).to.deep.equal(['quarantined', 'quarantined', 'quarantined'])
  })

  it('counts a crash once if its node and the calling node report it', async () => {
    const crash = crashAt(0, 'process-alone')
    fleet[1]?.recordReceived(crash, nameOf(0), clock.now())
    await clock.advance(2 * SECOND_MS)
    await exchange()
    expect(standings()).to.deep.equal(['suspect', 'suspect', 'suspect'])
  })

  it('publishes a crash through the calling node if the node that saw it is cut off', async () => {
    for (let number = 0; number < 2; number++) fleet[1]?.recordReceived(crashAt(0, 'process-alone'), nameOf(0), clock.now())
    await clock.advance(2 * SECOND_MS)
    await exchange([0])
    expect(standings()[2]).to.equal('quarantined')
  })

  it('is known to a node that starts afterwards, and to a restarted one', async () => {
    crashAt(0, 'process-alone')
    crashAt(1, 'process-alone')
    await exchange()
    const report = fleet[1]?.report
    addNode()
    await exchange()
    expect(standings()).to.deep.equal(['quarantined', 'quarantined', 'quarantined', 'quarantined'])
    const restarted = addNode()
    if (report !== undefined) restarted.restore(report, clock.now())
    expect(restarted.standingOf(request).kind).to.equal('suspect')
    expect(restarted.report).to.deep.equal(report)
  })

  it('keeps the crashes of a node whose row was removed', async () => {
    crashAt(0, 'process-alone')
    crashAt(1, 'process-alone')
    await exchange()
    await exchange([0, 1])
    expect(standings()[2]).to.equal('quarantined')
  })

  it('serves a request again everywhere once it has succeeded anywhere', async () => {
    for (const number of [0, 1, 2]) crashAt(number, 'process')
    await exchange()
    fleet[2]?.recordSuccess(request, clock.now())
    await exchange()
    expect(standings()).to.deep.equal(['clear', 'clear', 'clear'])
    expect(fleet.map((registry) => registry.report?.crashes)).to.deep.equal([undefined, undefined, []])
    expect(fleet[2]?.report?.cleared).to.have.length(3)
  })

  it('publishes the success of a request that only other nodes count as quarantined', async () => {
    crashAt(0, 'process')
    crashAt(1, 'process')
    await exchange()
    fleet[2]?.recordSuccess(request, clock.now())
    await clock.advance(10 * SECOND_MS)
    crashAt(0, 'process')
    await exchange()
    expect(standings()).to.deep.equal(['quarantined', 'quarantined', 'suspect'])
    fleet[2]?.recordSuccess(request, clock.now())
    await exchange()
    expect(standings()).to.deep.equal(['clear', 'clear', 'clear'])
  })

  it('serves a request again at once that has succeeded between its crashes and their report', async () => {
    fleet[2]?.recordReceived(crashAt(0, 'process'), nameOf(0), clock.now())
    crashAt(0, 'process')
    crashAt(1, 'process')
    crashAt(1, 'process')
    fleet[2]?.recordSuccess(request, clock.now())
    await exchange()
    expect(standings()).to.deep.equal(['clear', 'clear', 'clear'])
  })

  it('withdraws a clearance once no node reports the crashes any more', async () => {
    for (const number of [0, 1]) crashAt(number, 'process-alone')
    await exchange()
    fleet[2]?.recordSuccess(request, clock.now())
    await exchange()
    expect(fleet[2]?.report?.cleared).to.have.length(2)
    await clock.advance(70 * SECOND_MS)
    expect(fleet[2]?.report).to.equal(undefined)
  })

  it('permits trials at growing intervals, and at most three in seven minutes', async () => {
    for (const number of [0, 1, 2]) crashAt(number, 'process')
    await exchange()
    const trials: number[] = []
    for (let second = 0; second <= 440; second++) {
      if (fleet[0]?.refusalTime(request, clock.now()) === undefined) {
        trials.push(second)
        fleet[0]?.beginTrial(request, clock.now())
        crashAt(0, 'trial')
        await exchange()
      }
      await clock.advance(SECOND_MS)
    }
    expect(trials).to.deep.equal([10, 70, 430])
  })

  it('permits the first trial after ten seconds, however many endpoints have ended before', async () => {
    for (let number = 0; number < 9; number++) crashAt(number % 3, 'process')
    await exchange()
    await clock.advance(FIRST_TRIAL_MS)
    expect(refusalSeconds()).to.deep.equal([undefined, undefined, undefined])
  })

  it('refuses identical requests while a trial has no result', async () => {
    for (const number of [0, 1, 2]) crashAt(number, 'process')
    await exchange()
    await clock.advance(FIRST_TRIAL_MS)
    expect(refusalSeconds()).to.deep.equal([undefined, undefined, undefined])
    fleet[0]?.beginTrial(request, clock.now())
    expect(refusalSeconds()[0]).to.equal(60)
  })

  it('forgets a suspected request after ten minutes without a crash', async () => {
    crashAt(0, 'process-alone')
    await exchange()
    await clock.advance(DEFAULT_QUARANTINE_OPTIONS.suspicion)
    await clock.advance(10 * SECOND_MS)
    expect(standings()).to.deep.equal(['clear', 'clear', 'clear'])
    expect(fleet.map((registry) => registry.report)).to.deep.equal([undefined, undefined, undefined])
  })

  it('does not publish the loss of connections alone until a second one of the same request is known', async () => {
    const changes: string[] = []
    fleet[0]?.onReportChanged(() => changes.push('changed'))
    crashAt(0, 'connections')
    crashAt(0, 'connections', other)
    await clock.advance(REPORT_DELAY_MS)
    expect(fleet[0]?.report).to.equal(undefined)
    fleet[0]?.recordReceived(crashOf(request, 'connections'), nameOf(1), clock.now())
    await clock.advance(REPORT_DELAY_MS)
    expect(fleet[0]?.report?.crashes.map(({ fingerprint }) => fingerprint)).to.deep.equal([request.fingerprint])
    expect(changes).to.deep.equal(['changed'])
  })

  it('publishes nothing for a request that succeeds soon after its crash', async () => {
    const changes: string[] = []
    fleet[0]?.onReportChanged(() => changes.push('changed'))
    crashAt(0, 'process')
    fleet[0]?.recordSuccess(request, clock.now())
    await clock.advance(REPORT_DELAY_MS)
    expect(changes).to.deep.equal([])
    expect(fleet[0]?.standingOf(request).kind).to.equal('clear')
  })

  it('publishes a bounded number of crashes, those of quarantined requests first', async () => {
    crashAt(0, 'process-alone')
    crashAt(0, 'process-alone')
    for (let number = 0; number < 2 * MAXIMUM_PUBLISHED_CRASHES; number++) {
      crashAt(0, 'process', new RequestIdentity({ method: 'GET', path: `/${number}`, fields: [], body: undefined }))
    }
    await clock.advance(REPORT_DELAY_MS)
    const published = fleet[0]?.report?.crashes ?? []
    expect(published).to.have.length(MAXIMUM_PUBLISHED_CRASHES)
    expect(published.filter(({ fingerprint }) => fingerprint === request.fingerprint)).to.have.length(2)
  })
})
