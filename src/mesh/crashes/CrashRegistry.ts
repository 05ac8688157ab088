/** Knows which requests coincided with crashes of endpoints, on this and on other nodes, and which of them must not be sent. */
import { isDeepStrictEqual } from 'node:util'
import { Gauge } from 'prom-client'
import { Disposable } from '../../common/Disposable.js'
import { Emitter } from '../../common/Emitter.js'
import type { IClockService, ILogService, IMetricsService } from '../../common/Services.js'
import type { IDisposable, IEvent, Milliseconds, RequestFingerprint, Timestamp } from '../../common/Types.js'
import { CALL_CLEARED, CALL_QUARANTINED, CALL_SUSPECTED, CALL_TRIED } from '../Events.js'
import type { CrashId, ICrashRecord, ICrashReport, NodeName } from '../Types.js'
import { CrashTable, type IKnownCrash } from './CrashTable.js'
import { DEFAULT_QUARANTINE_OPTIONS, pointsOf, shouldPublish, trialDelay, type IQuarantineOptions } from './QuarantineRules.js'
import type { RequestIdentity } from './RequestIdentity.js'

/** Dependencies and options of `CrashRegistry`. */
export interface ICrashRegistryOptions {
  readonly self: NodeName
  readonly clock: IClockService
  readonly log: ILogService
  readonly metrics: IMetricsService
  readonly quarantine?: Partial<IQuarantineOptions>
}

/** Whether a request may be sent: `suspect` to one endpoint at a time, `quarantined` only as a trial from `trialAt` on. */
export type RequestStanding =
  | { readonly kind: 'clear' }
  | { readonly kind: 'suspect' }
  | { readonly kind: 'quarantined', readonly trialAt: Timestamp }

/** Maximum number of records, and of cleared IDs, in the row of one node. */
export const MAXIMUM_PUBLISHED_CRASHES = 32
const MAXIMUM_KNOWN_CRASHES = 4_096
/** Time after which a node publishes a crash that it learnt from a response and that no node has published. */
const PUBLICATION_DELAY_MS = 1_500 as Milliseconds
/** Time in which changes of the report are collected; most innocent requests succeed elsewhere in this time. */
const REPORT_DELAY_MS = 300 as Milliseconds
/** Time after a success in which crashes that are learnt of do not count: they may have happened before the success. */
const SUCCESS_VALIDITY_MS = 5_000
const EXPIRY_INTERVAL_MS = 10_000 as Milliseconds
/** Minimum time for which a clearance is published; a node may publish the crash later than the clearance. */
const MINIMUM_CLEARANCE_MS = 60_000
const CLEAR: RequestStanding = Object.freeze({ kind: 'clear' })
const SUSPECT: RequestStanding = Object.freeze({ kind: 'suspect' })

/**
 * A request that ends each endpoint that executes it is never executed to its end. So crashes count until one identical request has
 * succeeded anywhere. Nodes exchange their crashes through their rows in the node table; a crash has an ID, so that it counts once
 * however many nodes report it.
 */
export class CrashRegistry extends Disposable {
  private readonly _onReportChanged = this.register(new Emitter<void>())
  private readonly _quarantine: IQuarantineOptions
  private readonly _table = new CrashTable(MAXIMUM_KNOWN_CRASHES)
  /** Crashes that this node observed, or publishes because their observer does not. */
  private readonly _own = new Set<CrashId>()
  /** Crashes that no longer count; identical requests have succeeded. The oldest first. */
  private readonly _cleared = new Set<CrashId>()
  /** Those of the cleared crashes that this node publishes as cleared, with the time of their clearance. */
  private readonly _ownCleared = new Map<CrashId, Timestamp>()
  /** Time of the last success of a request with known crashes. */
  private readonly _succeededAt = new Map<RequestFingerprint, Timestamp>()
  private _report: ICrashReport | undefined
  private _reportTimer: IDisposable | undefined
  /** Time of the last trial at the local endpoint. */
  private readonly _trials = new Map<RequestFingerprint, Timestamp>()

  constructor (private readonly _options: ICrashRegistryOptions) {
    super()
    this._quarantine = { ...DEFAULT_QUARANTINE_OPTIONS, ..._options.quarantine }
    this.register(_options.clock.every(EXPIRY_INTERVAL_MS, () => this.expire(_options.clock.now())))
    const gauge: Gauge = new Gauge({
      name: 'savoryknot_quarantined_requests',
      help: 'Requests that are refused because identical ones ended their endpoints. Unit: fingerprints.',
      registers: [_options.metrics.registry],
      collect: () => gauge.set([...this._table.fingerprints].filter((fingerprint) => this._isQuarantined(fingerprint)).length)
    })
  }

  /** Stops the timers. */
  public stop (): void {
    this.dispose()
  }

  public override dispose (): void {
    super.dispose()
    this._reportTimer?.dispose()
  }

  /** Fires when `report` has changed. */
  public get onReportChanged (): IEvent<void> {
    return this._onReportChanged.event
  }

  /** What this node publishes; undefined if it has nothing to publish. */
  public get report (): ICrashReport | undefined {
    return this._report
  }

  /** Standing of a request. While no crash is known, nothing is hashed. */
  public standingOf (request: RequestIdentity): RequestStanding {
    if (!this._isKnown(request)) return CLEAR
    const { fingerprint } = request
    const crashes = this._countingCrashes(fingerprint)
    if (crashes.length === 0) return CLEAR
    return this._isQuarantined(fingerprint) ? { kind: 'quarantined', trialAt: this._trialAt(fingerprint, crashes) } : SUSPECT
  }

  /** Records a crash of the local endpoint. */
  public recordOwn (crash: ICrashRecord, now: Timestamp): void {
    if (this._own.has(crash.id)) return
    this._own.add(crash.id)
    this._learn(crash, this._options.self, now)
    this._scheduleReport()
  }

  /** Records a crash that another node stated in its response, and publishes it if that node does not. */
  public recordReceived (crash: ICrashRecord, source: NodeName, now: Timestamp): void {
    if (this._table.get(crash.id) !== undefined || this._cleared.has(crash.id)) return
    this._learn(crash, source, now)
    this._scheduleReport()
    this._options.clock.after(PUBLICATION_DELAY_MS, () => this._publishUnlessPublished(crash.id))
  }

  /** Records that a quarantined request is sent to the local endpoint. */
  public beginTrial ({ fingerprint }: RequestIdentity, now: Timestamp): void {
    this._trials.set(fingerprint, now)
    this._options.log.log(CALL_TRIED, { step: 'crashes.trial', fingerprint })
  }

  /** Time until a trial if the request must not be sent now; undefined if it may be sent. */
  public refusalTime (request: RequestIdentity, now: Timestamp): Milliseconds | undefined {
    const standing = this.standingOf(request)
    return standing.kind === 'quarantined' && now < standing.trialAt ? standing.trialAt - now as Milliseconds : undefined
  }

  /** Records that an endpoint has executed a request to its end. */
  public recordSuccess (request: RequestIdentity, now: Timestamp): void {
    if (!this._isKnown(request)) return
    const { fingerprint } = request
    this._succeededAt.set(fingerprint, now)
    if (this._countingCrashes(fingerprint).length === 0) return
    this._options.log.log(CALL_CLEARED, { step: 'crashes.success', fingerprint, source: this._options.self })
    this._clearRequest(fingerprint, now)
  }

  /** Adopts what an earlier process of this node published. */
  public restore (report: ICrashReport, now: Timestamp): void {
    for (const crash of report.crashes) this.recordOwn(crash, now)
    for (const id of report.cleared) {
      this._clear(id)
      this._ownCleared.set(id, now)
    }
    this._updateReport()
  }

  /** Applies what another node publishes. A crash that none of its publishers publishes any more is forgotten. */
  public applyReport (node: NodeName, report: ICrashReport | undefined, now: Timestamp): void {
    if (node === this._options.self) return
    const published = new Set(report?.crashes.map(({ id }) => id))
    for (const crash of [...this._table.values()]) {
      if (published.has(crash.id) || !crash.publishers.delete(node)) continue
      if (crash.publishers.size === 0 && !this._own.has(crash.id)) this._table.delete(crash.id)
    }
    for (const crash of report?.crashes ?? []) this._applyCrash(crash, node, now)
    for (const id of report?.cleared ?? []) this._clear(id)
    this._scheduleReport()
  }

  /** Forgets requests whose newest crash is long ago, and clearances of crashes that no node publishes any more. */
  public expire (now: Timestamp): void {
    const { suspicion, quarantine } = this._quarantine
    this._withdrawUnneededClearances(now)
    for (const fingerprint of [...this._table.fingerprints]) {
      const crashes = this._table.crashesOf(fingerprint)
      const newestAt = Math.max(...crashes.map(({ learntAt }) => learntAt))
      if (now - newestAt < (this._isQuarantined(fingerprint) ? quarantine : suspicion)) continue
      for (const { id } of crashes) this._table.delete(id)
    }
    this._forgetUnknown(now)
    this._updateReport()
  }

  /** Forgets what belongs to crashes that are no longer stored. */
  private _forgetUnknown (now: Timestamp): void {
    for (const id of this._own) if (this._table.get(id) === undefined) this._own.delete(id)
    for (const fingerprint of this._trials.keys()) if (this._table.crashesOf(fingerprint).length === 0) this._trials.delete(fingerprint)
    for (const fingerprint of this._succeededAt.keys()) if (!this._hasSucceeded(fingerprint, now)) this._succeededAt.delete(fingerprint)
  }

  private _applyCrash (crash: ICrashRecord, node: NodeName, now: Timestamp): void {
    this._learn(crash, node, now)?.publishers.add(node)
    // Other nodes count it, unless this node tells them of the success.
    if (this._cleared.has(crash.id) && this._hasSucceeded(crash.fingerprint, now)) this._publishClearances(crash.fingerprint, now)
  }

  /** Ends the suspicion of a request. */
  private _clearRequest (fingerprint: RequestFingerprint, now: Timestamp): void {
    for (const { id } of this._table.crashesOf(fingerprint)) this._clear(id)
    this._publishClearances(fingerprint, now)
    this._scheduleReport()
  }

  /** Tells the other nodes which crashes no longer count, if they would quarantine the request. */
  private _publishClearances (fingerprint: RequestFingerprint, now: Timestamp): void {
    const crashes = this._table.crashesOf(fingerprint)
    const published = crashes.filter(({ id, publishers }) => publishers.size > 0 || this._isPublishing(id))
    if (pointsOf(published) < this._quarantine.threshold) return
    for (const { id } of crashes) {
      if (this._cleared.has(id)) this._ownCleared.set(id, now)
    }
  }

  private _isPublishing (id: CrashId): boolean {
    return this._report?.crashes.some((crash) => crash.id === id) === true
  }

  /** True if an identical request has succeeded a short time ago. */
  private _hasSucceeded (fingerprint: RequestFingerprint, now: Timestamp): boolean {
    const succeededAt = this._succeededAt.get(fingerprint)
    return succeededAt !== undefined && now - succeededAt < SUCCESS_VALIDITY_MS
  }

  private _isKnown ({ target }: RequestIdentity): boolean {
    return this._table.size > 0 && this._table.hasTarget(target)
  }

  private _countingCrashes (fingerprint: RequestFingerprint): readonly IKnownCrash[] {
    return this._table.crashesOf(fingerprint).filter(({ id }) => !this._cleared.has(id))
  }

  private _isQuarantined (fingerprint: RequestFingerprint): boolean {
    return pointsOf(this._countingCrashes(fingerprint)) >= this._quarantine.threshold
  }

  /** A trial without a known result counts as failed. */
  private _trialAt (fingerprint: RequestFingerprint, crashes: readonly IKnownCrash[]): Timestamp {
    const newestAt = Math.max(...crashes.map(({ learntAt }) => learntAt))
    const failedTrials = crashes.filter(({ kind }) => kind === 'trial').length
    const triedAt = this._trials.get(fingerprint) ?? -Infinity
    if (triedAt <= newestAt) return newestAt + trialDelay(failedTrials, this._quarantine) as Timestamp
    return triedAt + trialDelay(failedTrials + 1, this._quarantine) as Timestamp
  }

  /** Stores a crash; undefined if it no longer counts. */
  private _learn (crash: ICrashRecord, source: NodeName, now: Timestamp): IKnownCrash | undefined {
    const known = this._table.get(crash.id)
    if (known !== undefined || this._cleared.has(crash.id)) return known
    const wasQuarantined = this._isQuarantined(crash.fingerprint)
    const added = this._table.add(crash, now)
    if (this._hasSucceeded(crash.fingerprint, now)) this._clear(crash.id)
    else this._logLearnt(crash, source, wasQuarantined, now)
    return added
  }

  private _logLearnt ({ fingerprint }: ICrashRecord, source: NodeName, wasQuarantined: boolean, now: Timestamp): void {
    const crashes = this._countingCrashes(fingerprint)
    const fields = { step: 'crashes.learn', fingerprint, source, points: pointsOf(crashes), crashes: crashes.length }
    if (!this._isQuarantined(fingerprint)) return this._options.log.log(CALL_SUSPECTED, fields)
    if (wasQuarantined) return
    this._options.log.log(CALL_QUARANTINED, { ...fields, trialAfterMs: this._trialAt(fingerprint, crashes) - now })
  }

  private _publishUnlessPublished (id: CrashId): void {
    const crash = this._table.get(id)
    if (this.isDisposed || crash === undefined || this._cleared.has(id) || crash.publishers.size > 0 || this._own.has(id)) return
    this._own.add(id)
    this._scheduleReport()
  }

  private _clear (id: CrashId): void {
    this._cleared.add(id)
    if (this._cleared.size <= MAXIMUM_KNOWN_CRASHES) return
    const [oldest] = this._cleared
    if (oldest !== undefined) this._cleared.delete(oldest)
  }

  private _withdrawUnneededClearances (now: Timestamp): void {
    for (const [id, clearedAt] of this._ownCleared) {
      if (now - clearedAt < MINIMUM_CLEARANCE_MS || (this._table.get(id)?.publishers.size ?? 0) > 0) continue
      this._ownCleared.delete(id)
    }
  }

  private _scheduleReport (): void {
    if (this.isDisposed) return
    this._reportTimer ??= this._options.clock.after(REPORT_DELAY_MS, () => this._updateReport())
  }

  private _updateReport (): void {
    this._reportTimer?.dispose()
    this._reportTimer = undefined
    if (this._report === undefined && this._own.size === 0 && this._ownCleared.size === 0) return
    const report = this._createReport()
    if (isDeepStrictEqual(report, this._report)) return
    this._report = report
    this._onReportChanged.fire()
  }

  private _createReport (): ICrashReport | undefined {
    const published = [...this._table.values()].filter((crash) => this._own.has(crash.id) && this._isPublishable(crash))
    const cleared = [...this._ownCleared.keys()].slice(-MAXIMUM_PUBLISHED_CRASHES)
    if (published.length === 0 && cleared.length === 0) return undefined
    const important = published.filter(({ fingerprint }) => this._isQuarantined(fingerprint))
    const others = published.filter(({ fingerprint }) => !this._isQuarantined(fingerprint))
    const selected = [...others, ...important].slice(-MAXIMUM_PUBLISHED_CRASHES)
    return { crashes: selected.map(({ id, fingerprint, kind }) => ({ id, fingerprint, kind })), cleared }
  }

  private _isPublishable (crash: IKnownCrash): boolean {
    return !this._cleared.has(crash.id) && shouldPublish(crash, this._countingCrashes(crash.fingerprint))
  }
}
