/** State of the local endpoint, the endpoint on the same VM as this node, according to its own reports. */
import { Emitter } from '../../common/Emitter.js'
import type { ILogService } from '../../common/Services.js'
import type { EndpointId, IEvent, Timestamp } from '../../common/Types.js'
import { ENDPOINT_CHANGED, NODE_ROW_IGNORED } from '../Events.js'
import type { IEndpointAuthority, ILocalEndpoint, ReportOutcome } from '../Services.js'
import type { EndpointPhase, EndpointPlace, IEndpointRecord, IEndpointReport } from '../Types.js'

/** Sequence number of an endpoint that is known only from the row written by an earlier process of this node. */
const NO_SEQUENCE = -1

/** Time without a report after which an incarnation with an earlier start time may replace the endpoint; longer than three heartbeats. */
const SUPERSEDED_AFTER_MS = 5_000
/** Time for which a doubted incarnation gets no requests, even if it reports: reports that it sent before it ended may arrive late. */
const DOUBTED_FOR_MS = 5_000
/** Number of reports, each later than all before, by which a doubted incarnation shows that it is running. */
const REPORTS_OF_A_RUNNING_ENDPOINT = 2
/** Maximum number of incarnations whose deregistration is remembered; each restart of the endpoint adds one at most. */
const MAXIMUM_DEREGISTERED = 16

/** An incarnation by its ID and its start time, which is 0 if it is unknown. */
type IncarnationId = Pick<IEndpointRecord, 'id' | 'bornAt'>

/** Evidence that an incarnation has ended: another one with its ID leaves, and start times do not tell for certain which is newer. */
interface IDoubt {
  readonly since: Timestamp
  /** Number of later reports of the doubted incarnation since then. */
  readonly reports: number
}

/** One incarnation of the endpoint: the time from a start of its process to the next start. */
interface IIncarnation {
  readonly record: IEndpointRecord
  readonly sequence: number
  readonly reportedAt: Timestamp
  /** Undefined if nothing contradicts that the incarnation is running. */
  readonly doubt?: IDoubt
}

/** Dependencies of `LocalEndpoint`. */
export interface ILocalEndpointOptions {
  readonly authority: IEndpointAuthority
  readonly log: ILogService
}

/**
 * Accepts each report once, in order, and only from the newest incarnation. Messages that do not describe the endpoint of this VM
 * have no effect. The phase never goes back within an incarnation. The table
 * of all cases is in docs/DESIGN.md, "Incarnations of an endpoint".
 */
export class LocalEndpoint implements ILocalEndpoint {
  private readonly _onChanged = new Emitter<IEndpointRecord>()
  private _incarnation: IIncarnation | undefined
  /** Incarnations that deregistered, the latest last; neither the row of an earlier process nor a report reactivates them. */
  private readonly _deregistered: IncarnationId[] = []
  private _hasReportWaitExpired = false
  /** Last report that appeared to come from an earlier incarnation. */
  private _lastOutdatedReport: IEndpointReport | undefined

  constructor (private readonly _options: ILocalEndpointOptions) {}

  public get record (): IEndpointRecord | undefined {
    return this._incarnation?.record
  }

  /**
   * True while another incarnation with the same ID has left and the known one has not shown that it is running, or while the settings
   * contradict the known one.
   */
  public get isDoubted (): boolean {
    return this._incarnation?.doubt !== undefined || this._isContradicted
  }

  /** Time of the last report; undefined if the endpoint has not reported to this process. */
  public get reportedAt (): Timestamp | undefined {
    const incarnation = this._incarnation
    return incarnation === undefined || incarnation.sequence === NO_SEQUENCE ? undefined : incarnation.reportedAt
  }

  /** Fires when the service, address, slots or phase changed, or a new incarnation started. */
  public get onChanged (): IEvent<IEndpointRecord> {
    return this._onChanged.event
  }

  /**
   * Adopts the endpoint record that an earlier process of this node stored, unless the endpoint has reported to this process. If
   * the incarnation is already known, only a later phase (draining or deregistered) is adopted: a phase never goes back within an
   * incarnation, whichever process learnt it. Returns false if the record cannot be that of the endpoint of this VM.
   */
  public restore (record: IEndpointRecord, now: Timestamp): boolean {
    const fault = this._options.authority.faultOf(record, false)
    if (fault !== undefined) {
      this._options.log.log(NODE_ROW_IGNORED, {
        step: 'endpoint.restore', endpoint: record.id, service: record.service, address: record.address, reason: fault
      })
      return false
    }
    const current = this._incarnation
    if (current !== undefined && hasUnknownStart(record, current.record)) return false
    const order = current === undefined ? 1 : compareIncarnations(record, current.record)
    if (order > 0 && this.reportedAt === undefined) this._replace({ record: this._toAdoptedRecord(record), sequence: NO_SEQUENCE, reportedAt: now }, 'adopted')
    if (current === undefined || order !== 0 || record.phase === 'serving') return true
    const phase = laterPhase(current.record.phase, record.phase)
    if (phase !== current.record.phase) this._replace({ ...current, record: { ...current.record, phase } }, 'adopted')
    return true
  }

  /**
   * Ends the wait for the first report. An endpoint that has not reported to this process gets no requests until it does: it may have
   * deregistered with an earlier process.
   */
  public expireReportWait (): void {
    this._hasReportWaitExpired = true
    const current = this._incarnation
    if (current === undefined || this.reportedAt !== undefined || current.record.phase !== 'serving') return
    this._replace({ ...current, record: { ...current.record, phase: 'silent' } }, 'silent')
  }

  /** Withdraws the endpoint if changed settings contradict it, until an endpoint reports in accordance with them. */
  public applySettings (): void {
    const current = this._incarnation
    if (current === undefined || current.record.phase !== 'serving' || !this._isContradicted) return
    this._replace({ ...current, record: { ...current.record, phase: 'silent' } }, 'settings')
  }

  /** Why the report cannot be from the endpoint of this VM; undefined if it can be. */
  public faultOf (report: IEndpointReport, now: Timestamp): string | undefined {
    const current = this._incarnation
    const isInUse = current !== undefined && current.record.id === report.id && isSameEndpoint(report, current.record)
    return this._options.authority.faultOf(report, isInUse) ?? this._faultOfStartTime(report, now)
  }

  public report (report: IEndpointReport, now: Timestamp): ReportOutcome {
    if (this.faultOf(report, now) !== undefined) return 'foreign'
    const current = this._isContradicted ? undefined : this._incarnation
    if (current !== undefined && hasUnknownStart(current.record, report)) return this._startTimeLearnt(current, report, now)
    if (current !== undefined) {
      const order = compareIncarnations(report, current.record)
      if (order < 0 && !this._supersedes(report, current, now)) {
        return report.phase === 'draining' ? this._recordDoubt(current, report, now) : 'outdated'
      }
      if (order === 0 && report.sequence <= current.sequence) return this._applyLateDrain(current, report)
      if (order === 0) return this._update(current, report, now)
    }
    const phase = this._hasDeregistered(report) ? 'gone' : report.phase
    this._replace({ record: toRecord(report, phase), sequence: report.sequence, reportedAt: now }, 'reported')
    return 'accepted'
  }

  public deregister (id: EndpointId, bornAt: number, now: Timestamp): ReportOutcome {
    const current = this._incarnation
    const order = current === undefined ? 1 : compareIncarnations({ id, bornAt }, current.record)
    // A deregistration without start time may be a delayed message from an incarnation long before the current one.
    if (current === undefined || (order !== 0 && bornAt > 0)) this._rememberDeregistered({ id, bornAt })
    if (current === undefined) return 'accepted'
    if (order !== 0) return this._recordDoubt(current, { id, bornAt }, now)
    if (current.record.phase !== 'gone') this._replace({ ...current, record: { ...current.record, phase: 'gone' }, reportedAt: now }, 'deregistered')
    return 'accepted'
  }

  private get _isContradicted (): boolean {
    const record = this._incarnation?.record
    return record !== undefined && this._options.authority.faultOf(record, true) !== undefined
  }

  /** An endpoint states its start time always or never, so a report without one is not from an endpoint that has stated it. */
  private _faultOfStartTime (report: IEndpointReport, now: Timestamp): string | undefined {
    const current = this._incarnation
    if (current === undefined || current.record.phase === 'gone' || !hasUnknownStart(report, current.record)) return undefined
    return now - current.reportedAt < SUPERSEDED_AFTER_MS ? 'start time is missing' : undefined
  }

  /** Replaces a record without start time, which may be from another writer, by that of a report that states one. */
  private _startTimeLearnt (current: IIncarnation, report: IEndpointReport, now: Timestamp): ReportOutcome {
    const isGone = this._hasDeregistered(report) || (current.record.id === report.id && current.record.phase === 'gone')
    this._replace({ record: toRecord(report, isGone ? 'gone' : report.phase), sequence: report.sequence, reportedAt: now }, 'reported')
    return 'accepted'
  }

  private _toAdoptedRecord (record: IEndpointRecord): IEndpointRecord {
    if (this._hasDeregistered(record)) return { ...record, phase: 'gone' }
    return this._hasReportWaitExpired && record.phase === 'serving' ? { ...record, phase: 'silent' } : record
  }

  private _hasDeregistered (incarnation: IncarnationId): boolean {
    return this._deregistered.some((deregistered) => {
      return deregistered.id === incarnation.id && compareIncarnations(incarnation, deregistered) <= 0
    })
  }

  private _rememberDeregistered (incarnation: IncarnationId): void {
    const known = this._deregistered.findIndex(({ id, bornAt }) => id === incarnation.id && bornAt === incarnation.bornAt)
    if (known >= 0) this._deregistered.splice(known, 1)
    this._deregistered.push(incarnation)
    if (this._deregistered.length > MAXIMUM_DEREGISTERED) this._deregistered.shift()
  }

  /**
   * Another incarnation with the ID of the current one leaves. Either it is the newer one, and the current one has ended, or its message
   * is a late one. The current one gets no requests until it has shown that it is running. A message with another ID says nothing about
   * the current one, since an endpoint does not run requests that are addressed to another ID.
   */
  private _recordDoubt (current: IIncarnation, leaving: IncarnationId, now: Timestamp): ReportOutcome {
    if (leaving.id !== current.record.id) return 'outdated'
    if (current.record.phase === 'draining' || current.record.phase === 'gone') return 'accepted'
    const record: IEndpointRecord = { ...current.record, phase: 'silent' }
    this._replace({ ...current, record, doubt: { since: now, reports: 0 } }, 'contradicted')
    return 'accepted'
  }

  /** Applies a draining phase from a report that arrived after a later one: the phase of an incarnation never goes back. */
  private _applyLateDrain (current: IIncarnation, report: IEndpointReport): ReportOutcome {
    const phase = laterPhase(current.record.phase, report.phase)
    if (report.phase !== 'draining' || phase === current.record.phase) return 'outdated'
    this._replace({ ...current, record: { ...current.record, phase } }, 'reported')
    return 'accepted'
  }

  /**
   * Whether the reporting incarnation has replaced the current one despite its earlier start time: the clock from which start times
   * are read may have been set back between two starts. The report could also be a delayed one of an old incarnation, but then no
   * further report of the old incarnation follows, or the current incarnation still reports.
   */
  private _supersedes (report: IEndpointReport, current: IIncarnation, now: Timestamp): boolean {
    const previous = this._lastOutdatedReport
    this._lastOutdatedReport = report
    const isRepeated = previous !== undefined && compareIncarnations(previous, report) === 0 && previous.sequence < report.sequence
    return isRepeated && now - current.reportedAt >= SUPERSEDED_AFTER_MS
  }

  /** Applies a later report of the same incarnation. */
  private _update (current: IIncarnation, report: IEndpointReport, now: Timestamp): ReportOutcome {
    const doubt = remainingDoubt(current.doubt, now)
    const phase = doubt !== undefined && report.phase === 'serving' ? 'silent' : laterPhase(current.record.phase, report.phase)
    const record = toRecord(report, phase)
    const next = { record, sequence: report.sequence, reportedAt: now, doubt }
    if (isEquivalent(record, current.record)) this._incarnation = { ...next, record: current.record }
    else this._replace(next, 'reported')
    return 'accepted'
  }

  private _replace (next: IIncarnation, cause: string): void {
    const previous = this._incarnation?.record
    this._incarnation = next
    const { record } = next
    this._options.log.log(ENDPOINT_CHANGED, {
      step: 'endpoint.report',
      endpoint: record.id,
      service: record.service,
      phase: record.phase,
      phaseBefore: previous?.phase,
      endpointBefore: previous?.id,
      sequence: next.sequence,
      cause
    })
    this._onChanged.fire(record)
  }
}

/** The doubt after a further report of the incarnation; undefined if the incarnation has shown that it is running. */
function remainingDoubt (doubt: IDoubt | undefined, now: Timestamp): IDoubt | undefined {
  if (doubt === undefined) return undefined
  const reports = doubt.reports + 1
  const isOver = reports >= REPORTS_OF_A_RUNNING_ENDPOINT && now - doubt.since >= DOUBTED_FOR_MS
  return isOver ? undefined : { ...doubt, reports }
}

const PHASE_ORDER: readonly EndpointPhase[] = ['silent', 'serving', 'draining', 'gone']

function laterPhase (left: EndpointPhase, right: EndpointPhase): EndpointPhase {
  return PHASE_ORDER.indexOf(left) > PHASE_ORDER.indexOf(right) ? left : right
}

/**
 * Negative if `left` belongs to an earlier incarnation than `right`, 0 if to the same one, positive if to a later one. If a start
 * time is unknown, a different id means a later incarnation, since only a running endpoint reports.
 */
function compareIncarnations (left: IncarnationId, right: IncarnationId): number {
  const areStartTimesKnown = left.bornAt > 0 && right.bornAt > 0
  if (areStartTimesKnown && left.bornAt !== right.bornAt) return left.bornAt - right.bornAt
  return left.id === right.id ? 0 : 1
}

/** Whether only `right` states a start time. */
function hasUnknownStart (left: IncarnationId, right: IncarnationId): boolean {
  return left.bornAt === 0 && right.bornAt > 0
}

function isSameEndpoint (left: EndpointPlace, right: EndpointPlace): boolean {
  return left.service === right.service && left.address === right.address
}

function toRecord (report: IEndpointReport, phase: EndpointPhase): IEndpointRecord {
  const { id, bornAt, service, address, slots, warmUpLeft } = report
  return { id, bornAt, service, address, slots, phase, warmUpLeft }
}

/** Whether listeners need no notification of the difference; the remaining warm-up time is not compared, since it only counts down. */
function isEquivalent (left: IEndpointRecord, right: IEndpointRecord): boolean {
  return left.phase === right.phase && isSameEndpoint(left, right) && left.slots === right.slots && left.bornAt === right.bornAt
}
