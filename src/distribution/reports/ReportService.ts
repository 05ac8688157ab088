/** Reports what is in force on this node, collects where this node is the collector, and reads all reports. */
import { Disposable } from '../../common/Disposable.js'
import { addDuration } from '../../common/Ids.js'
import type { IClockService, IInvariantService, ILogService, IRandomService, IService } from '../../common/Services.js'
import type { Milliseconds, NodeId, Timestamp } from '../../common/Types.js'
import type { ReportBeacon } from '../../generated/savoryknot/ReportBeacon.js'
import type { IMembershipService, IOverlayService, IRoleService } from '../../membership/Services.js'
import type { IObjectStore } from '../../platform/Services.js'
import { REPORT_REFUSED } from '../Events.js'
import type { IBurnMinute, IDomainReport, IReportService, ISnapshotService } from '../Services.js'
import { Signal } from '../Signal.js'
import { jitter } from '../Timeouts.js'
import { DomainObjects } from './DomainObjects.js'
import { DomainReader } from './DomainReader.js'
import { DomainWriter } from './DomainWriter.js'
import { NodeReporter } from './NodeReporter.js'
import { type IReportReceiver, ReportCarrier } from './ReportCarrier.js'
import { ReportCollector } from './ReportCollector.js'
import type { IInForceReport } from './Types.js'

/** Options of `ReportService`; those with defaults may be left out. */
export interface IReportServiceOptions {
  readonly overlay: IOverlayService
  readonly membership: IMembershipService
  readonly roles: IRoleService
  readonly snapshots: ISnapshotService
  readonly objects: IObjectStore
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly invariants: IInvariantService
  /** Shortest time between two writes of the status object. */
  readonly writeInterval: Milliseconds
  /** Time between two beacons of the collector. */
  readonly beaconInterval: Milliseconds
  /** Time between two digests of a node that has nothing new, in a small domain. */
  readonly repeatInterval: Milliseconds
  /** Added to `repeatInterval` for each member, so that a collector's load stays bounded. */
  readonly repeatIntervalPerMember: Milliseconds
  readonly batchDelay: Milliseconds
  readonly burnDelay: Milliseconds
  readonly burnInterval: Milliseconds
  readonly heartbeat: Milliseconds
  /** Age above which a domain's report does not count. */
  readonly heardWithin: Milliseconds
  readonly timeout: Milliseconds
}

/** Defaults of `ReportService`. */
export const DEFAULT_REPORT_OPTIONS = Object.freeze({
  writeInterval: 1_000 as Milliseconds,
  beaconInterval: 4_000 as Milliseconds,
  repeatInterval: 10_000 as Milliseconds,
  repeatIntervalPerMember: 60 as Milliseconds,
  batchDelay: 100 as Milliseconds,
  burnDelay: 5_000 as Milliseconds,
  burnInterval: 30_000 as Milliseconds,
  heartbeat: 5_000 as Milliseconds,
  heardWithin: 15_000 as Milliseconds,
  timeout: 3_000 as Milliseconds
})

type RequiredReportOptions = Omit<IReportServiceOptions, keyof typeof DEFAULT_REPORT_OPTIONS>

/** Share by which intervals are drawn shorter or longer. */
const JITTER = 0.2

/** Nodes asked for a whole report by one beacon. */
const WHOLE_FROM = 16

/** Two collectors at once write alternately what each of them heard; a node is never counted for more than it reported. */
export class ReportService extends Disposable implements IReportService, IReportReceiver, IService {
  private readonly _options: IReportServiceOptions
  private readonly _carrier: ReportCarrier
  private readonly _reporter: NodeReporter
  private readonly _collector: ReportCollector
  private readonly _writer: DomainWriter
  private readonly _reader: DomainReader
  private readonly _signal: Signal
  private _target: NodeId | undefined
  private _hasChanged = true
  private _nextRepeatAt = 0 as Timestamp
  private _nextBeaconAt = 0 as Timestamp
  private _beaconNumber = 0
  private _task: Promise<void> | undefined

  constructor (options: RequiredReportOptions & Partial<IReportServiceOptions>) {
    super()
    const complete = { ...DEFAULT_REPORT_OPTIONS, ...options }
    this._options = complete
    const { self } = complete.membership
    const objects = new DomainObjects(complete.objects)
    this._carrier = this.register(new ReportCarrier({ ...complete, self: self.id, receiver: this }))
    this._reporter = new NodeReporter(self.id, complete.snapshots, complete.invariants)
    this._collector = new ReportCollector(complete.invariants)
    this._writer = new DomainWriter({ ...complete, self: self.id, failureDomain: self.failureDomain, objects })
    this._reader = new DomainReader({ ...complete, objects })
    this._signal = new Signal(complete.clock)
  }

  public start (): void {
    this._carrier.start()
    this.register(this._options.snapshots.onReplaced(() => this._noteChange()))
    this._task = this._run()
  }

  public async stop (): Promise<void> {
    this.dispose()
    this._signal.notify()
    await this._task
  }

  public addBurn (counts: readonly IBurnMinute[], now: Timestamp): void {
    const target = this._isCollector() ? undefined : this._chooseTarget()
    if (target !== undefined) this._carrier.sendBurn(target, counts, now)
    else this._writer.addBurn(counts, now)
  }

  public read (now: Timestamp): Promise<readonly IDomainReport[]> {
    return this._reader.read(now)
  }

  public receiveReport (report: IInForceReport, peer: NodeId): void {
    if (this._collector.receive(report)) return
    this._options.log.log(REPORT_REFUSED, { step: 'report.receive', peer, node: report.node })
  }

  public receiveBurn (counts: readonly IBurnMinute[], now: Timestamp): void {
    this._writer.addBurn(counts, now)
  }

  public receiveBeacon (beacon: ReportBeacon): void {
    const { self } = this._options.membership
    if (beacon.wholeFrom?.includes(self.id) !== true || beacon.collector === undefined) return
    this._report(beacon.collector as NodeId, 'whole')
  }

  /** The next report goes the new way, as soon as there is one. */
  public routeLost (): void {
    this._target = undefined
  }

  /** One turn a write interval, sooner after a change. */
  private async _run (): Promise<void> {
    const { clock, random, writeInterval } = this._options
    while (!this.isDisposed) {
      const now = clock.now()
      if (this._isCollector()) await this._collect(now)
      else this._reportIfDue(now)
      await this._signal.wait(jitter(random, writeInterval, JITTER))
    }
  }

  private _isCollector (): boolean {
    const { roles, membership } = this._options
    return roles.holders('report-collector', membership.self.failureDomain)[0] === membership.self.id
  }

  /** Wakes a node that reports; the collector's writes keep their rate. */
  private _noteChange (): void {
    this._hasChanged = true
    if (!this._isCollector()) this._signal.notify()
  }

  private _reportIfDue (now: Timestamp): void {
    const target = this._chooseTarget()
    if (target === undefined) return
    const isNewTarget = target !== this._target
    const isRepeat = now >= this._nextRepeatAt
    if (!isNewTarget && !this._hasChanged && !isRepeat) return
    this._target = target
    this._report(target, isNewTarget || !this._hasChanged ? 'digest' : 'changes')
    this._hasChanged = false
    this._nextRepeatAt = this._repeatAt(now)
  }

  /** The ranked collector if there is a way to it, else the one heard last. */
  private _chooseTarget (): NodeId | undefined {
    const { roles, membership } = this._options
    const ranked = roles.holders('report-collector', membership.self.failureDomain)[0]
    if (ranked !== undefined && this._carrier.knows(ranked)) return ranked
    return this._carrier.newestCollector
  }

  private _report (collector: NodeId, extent: 'whole' | 'changes' | 'digest'): void {
    const report = this._reporter.create(extent)
    if (report !== undefined) this._carrier.sendReport(collector, report)
  }

  private _repeatAt (now: Timestamp): Timestamp {
    const { random, repeatInterval, repeatIntervalPerMember } = this._options
    const interval = repeatInterval + repeatIntervalPerMember * this._localMembers().size
    return addDuration(now, jitter(random, interval, JITTER))
  }

  private async _collect (now: Timestamp): Promise<void> {
    this._collector.noteOwn(this._reporter.digest.toString('hex'), this._reporter.versions)
    const own = this._reporter.create('digest')
    if (own !== undefined) this._collector.receive(own)
    const members = this._localMembers()
    this._collector.retain(members)
    this._sendBeaconIfDue(now)
    await this._writer.write({ members: members.size, services: this._collector.summarize() }, now)
  }

  /** Asks at once for the whole reports that are lacking, else once an interval. */
  private _sendBeaconIfDue (now: Timestamp): void {
    const wholeFrom = this._collector.lacking.slice(0, WHOLE_FROM)
    if (now < this._nextBeaconAt && wholeFrom.length === 0) return
    this._nextBeaconAt = addDuration(now, this._options.beaconInterval)
    this._beaconNumber = Math.max(this._beaconNumber + 1, now)
    this._carrier.flood({ collector: this._options.membership.self.id, number: this._beaconNumber, wholeFrom })
  }

  /** Members of the failure domain that are expected to hold every version. */
  private _localMembers (): ReadonlySet<NodeId> {
    const { membership } = this._options
    // A suspect node may still serve callers, so it is waited for.
    return new Set<NodeId>([membership.self.id, ...membership.presentIn(membership.self.failureDomain).keys()])
  }
}
