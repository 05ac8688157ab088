/** Reports the active versions on this node, collects reports while this node is the collector, and reads all reports. */
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
import { type IReportReceiver, ReportRelay } from './ReportRelay.js'
import { ReportCollector } from './ReportCollector.js'
import type { INodeReport } from './Types.js'

/** Dependencies and settings of `ReportService`; settings with a default may be omitted. */
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
  /** Mean time between two writes of the status object. */
  readonly writeInterval: Milliseconds
  /** Time between two beacons of the collector while no complete report is missing. */
  readonly beaconInterval: Milliseconds
  /** Base of the time between two reports of a node whose versions have not changed; such a report contains only the digest. */
  readonly idleReportInterval: Milliseconds
  /** Added to `idleReportInterval` for each member of the failure domain, so that the load of the collector stays bounded. */
  readonly idleReportIntervalPerMember: Milliseconds
  readonly batchDelay: Milliseconds
  readonly burnBatchDelay: Milliseconds
  readonly burnInterval: Milliseconds
  readonly heartbeat: Milliseconds
  /** Age above which the report of a failure domain is ignored. */
  readonly maximumReportAge: Milliseconds
  readonly timeout: Milliseconds
}

/** Defaults of `ReportService`. */
export const DEFAULT_REPORT_OPTIONS = Object.freeze({
  writeInterval: 1_000 as Milliseconds,
  beaconInterval: 4_000 as Milliseconds,
  idleReportInterval: 10_000 as Milliseconds,
  idleReportIntervalPerMember: 60 as Milliseconds,
  batchDelay: 100 as Milliseconds,
  burnBatchDelay: 5_000 as Milliseconds,
  burnInterval: 30_000 as Milliseconds,
  heartbeat: 5_000 as Milliseconds,
  maximumReportAge: 15_000 as Milliseconds,
  timeout: 3_000 as Milliseconds
})

type RequiredReportOptions = Omit<IReportServiceOptions, keyof typeof DEFAULT_REPORT_OPTIONS>

/** Maximum share by which a random interval is shorter or longer than its setting. */
const JITTER_SHARE = 0.2

/** Maximum number of nodes from which one beacon requests a complete report. */
const MAXIMUM_FULL_REPORT_REQUESTS = 16

/**
 * While there are two collectors, they alternately write the same objects, each from the reports that it received itself. No node is
 * counted for a version that it has not reported.
 */
export class ReportService extends Disposable implements IReportService, IReportReceiver, IService {
  private readonly _options: IReportServiceOptions
  private readonly _relay: ReportRelay
  private readonly _reporter: NodeReporter
  private readonly _collector: ReportCollector
  private readonly _writer: DomainWriter
  private readonly _reader: DomainReader
  private readonly _signal: Signal
  private _reportTarget: NodeId | undefined
  private _hasChanged = true
  private _nextIdleReportAt = 0 as Timestamp
  private _nextBeaconAt = 0 as Timestamp
  private _beaconNumber = 0
  private _task: Promise<void> | undefined

  constructor (options: RequiredReportOptions & Partial<IReportServiceOptions>) {
    super()
    const completeOptions = { ...DEFAULT_REPORT_OPTIONS, ...options }
    this._options = completeOptions
    const { self } = completeOptions.membership
    const objects = new DomainObjects(completeOptions.objects)
    this._relay = this.register(new ReportRelay({ ...completeOptions, self: self.id, receiver: this }))
    this._reporter = new NodeReporter(self.id, completeOptions.snapshots, completeOptions.invariants)
    this._collector = new ReportCollector(completeOptions.invariants)
    this._writer = new DomainWriter({ ...completeOptions, self: self.id, failureDomain: self.failureDomain, objects })
    this._reader = new DomainReader({ ...completeOptions, objects })
    this._signal = new Signal(completeOptions.clock)
  }

  public start (): void {
    this._relay.start()
    this.register(this._options.snapshots.onReplaced(() => this._recordChange()))
    this._task = this._run()
  }

  public async stop (): Promise<void> {
    this.dispose()
    this._signal.notify()
    await this._task
  }

  public addBurn (counts: readonly IBurnMinute[], now: Timestamp): void {
    const target = this._isCollector() ? undefined : this._chooseTarget()
    if (target !== undefined) this._relay.sendBurn(target, counts, now)
    else this._writer.addBurn(counts, now)
  }

  public read (now: Timestamp): Promise<readonly IDomainReport[]> {
    return this._reader.read(now)
  }

  public receiveReport (report: INodeReport, peer: NodeId): void {
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

  /** Clears the target, so that a new digest is sent as soon as there is a route to a collector. */
  public handleRouteLost (): void {
    this._reportTarget = undefined
  }

  /** Runs once per write interval; on a node that is not the collector also immediately after a change. */
  private async _run (): Promise<void> {
    const { clock, random, writeInterval } = this._options
    while (!this.isDisposed) {
      const now = clock.now()
      if (this._isCollector()) await this._collect(now)
      else this._reportIfDue(now)
      await this._signal.wait(jitter(random, writeInterval, JITTER_SHARE))
    }
  }

  private _isCollector (): boolean {
    const { roles, membership } = this._options
    return roles.holders('report-collector', membership.self.failureDomain)[0] === membership.self.id
  }

  /** Wakes the task unless this node is the collector, whose writes keep their rate. */
  private _recordChange (): void {
    this._hasChanged = true
    if (!this._isCollector()) this._signal.notify()
  }

  private _reportIfDue (now: Timestamp): void {
    const target = this._chooseTarget()
    if (target === undefined) return
    const isNewTarget = target !== this._reportTarget
    const isIdleReportDue = now >= this._nextIdleReportAt
    if (!isNewTarget && !this._hasChanged && !isIdleReportDue) return
    this._reportTarget = target
    this._report(target, isNewTarget || !this._hasChanged ? 'digest' : 'changes')
    this._hasChanged = false
    this._nextIdleReportAt = this._idleReportAt(now)
  }

  /** The highest-ranked collector if there is a route to it, otherwise the collector whose beacon was received last. */
  private _chooseTarget (): NodeId | undefined {
    const { roles, membership } = this._options
    const ranked = roles.holders('report-collector', membership.self.failureDomain)[0]
    if (ranked !== undefined && this._relay.hasRouteTo(ranked)) return ranked
    return this._relay.newestCollector
  }

  private _report (collector: NodeId, extent: 'whole' | 'changes' | 'digest'): void {
    const report = this._reporter.create(extent)
    if (report !== undefined) this._relay.sendReport(collector, report)
  }

  private _idleReportAt (now: Timestamp): Timestamp {
    const { random, idleReportInterval, idleReportIntervalPerMember } = this._options
    const interval = idleReportInterval + idleReportIntervalPerMember * this._localMembers().size
    return addDuration(now, jitter(random, interval, JITTER_SHARE))
  }

  private async _collect (now: Timestamp): Promise<void> {
    this._collector.recordOwn(this._reporter.digest.toString('hex'), this._reporter.versions)
    const own = this._reporter.create('digest')
    if (own !== undefined) this._collector.receive(own)
    const members = this._localMembers()
    this._collector.retain(members)
    this._sendBeaconIfDue(now)
    await this._writer.write({ members: members.size, services: this._collector.summarize() }, now)
  }

  /** Sends a beacon at once if complete reports are missing, otherwise once per interval. */
  private _sendBeaconIfDue (now: Timestamp): void {
    const wholeFrom = this._collector.nodesWithoutVector.slice(0, MAXIMUM_FULL_REPORT_REQUESTS)
    if (now < this._nextBeaconAt && wholeFrom.length === 0) return
    this._nextBeaconAt = addDuration(now, this._options.beaconInterval)
    this._beaconNumber = Math.max(this._beaconNumber + 1, now)
    this._relay.flood({ collector: this._options.membership.self.id, number: this._beaconNumber, wholeFrom })
  }

  /** Members of the failure domain that are expected to have activated every version. */
  private _localMembers (): ReadonlySet<NodeId> {
    const { membership } = this._options
    // A suspect node may still serve callers, so it is expected to have activated every version, too.
    return new Set<NodeId>([membership.self.id, ...membership.aliveOrSuspectIn(membership.self.failureDomain).keys()])
  }
}
