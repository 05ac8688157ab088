/** State of the local endpoint, the endpoint on the same VM as this node, according to its own reports. */
import { Emitter } from '../../common/Emitter.js'
import type { ILogService } from '../../common/Services.js'
import type { EndpointId, IEvent, Timestamp } from '../../common/Types.js'
import { ENDPOINT_CHANGED } from '../Events.js'
import type { ILocalEndpoint, ReportOutcome } from '../Services.js'
import type { EndpointPhase, IEndpointRecord, IEndpointReport } from '../Types.js'

/** Sequence number of an endpoint that is known only from the row written by an earlier process of this node. */
const NO_SEQUENCE = -1

/** Time without a report after which an incarnation with an earlier start time may replace the endpoint; longer than three heartbeats. */
const SUPERSEDED_AFTER_MS = 5_000

/** One incarnation of the endpoint: the time from a start of its process to the next start. */
interface IIncarnation {
  readonly record: IEndpointRecord
  readonly sequence: number
  readonly reportedAt: Timestamp
}

/** Accepts each report once, in order, and only from the newest incarnation. The phase never goes back within an incarnation. */
export class LocalEndpoint implements ILocalEndpoint {
  private readonly _onChanged = new Emitter<IEndpointRecord>()
  private _incarnation: IIncarnation | undefined
  /** Incarnation that deregistered before this process knew of it; neither the row of an earlier process nor a report reactivates it. */
  private _deregisteredIncarnation: Pick<IEndpointRecord, 'id' | 'bornAt'> | undefined
  private _hasReportWaitExpired = false
  /** Last report that appeared to come from an earlier incarnation. */
  private _lastOutdatedReport: IEndpointReport | undefined

  constructor (private readonly _log: ILogService) {}

  public get record (): IEndpointRecord | undefined {
    return this._incarnation?.record
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
   * incarnation, whichever process learnt it.
   */
  public restore (record: IEndpointRecord, now: Timestamp): void {
    const current = this._incarnation
    const order = current === undefined ? 1 : compareIncarnations(record, current.record)
    if (order > 0 && this.reportedAt === undefined) this._replace({ record: this._toAdoptedRecord(record), sequence: NO_SEQUENCE, reportedAt: now }, 'adopted')
    if (current === undefined || order !== 0 || record.phase === 'serving') return
    const phase = laterPhase(current.record.phase, record.phase)
    if (phase !== current.record.phase) this._replace({ ...current, record: { ...current.record, phase } }, 'adopted')
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

  public report (report: IEndpointReport, now: Timestamp): ReportOutcome {
    const current = this._incarnation
    if (current !== undefined) {
      const order = compareIncarnations(report, current.record)
      if (order < 0 && !this._supersedes(report, current, now)) return 'outdated'
      if (order === 0 && report.sequence <= current.sequence) return 'outdated'
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
    if (current === undefined || (order > 0 && bornAt > 0)) this._deregisteredIncarnation = { id, bornAt }
    if (current === undefined || order !== 0) return 'outdated'
    if (current.record.phase !== 'gone') this._replace({ ...current, record: { ...current.record, phase: 'gone' }, reportedAt: now }, 'deregistered')
    return 'accepted'
  }

  private _toAdoptedRecord (record: IEndpointRecord): IEndpointRecord {
    if (this._hasDeregistered(record)) return { ...record, phase: 'gone' }
    return this._hasReportWaitExpired && record.phase === 'serving' ? { ...record, phase: 'silent' } : record
  }

  private _hasDeregistered (incarnation: Pick<IEndpointRecord, 'id' | 'bornAt'>): boolean {
    const deregistered = this._deregisteredIncarnation
    return deregistered?.id === incarnation.id && compareIncarnations(incarnation, deregistered) <= 0
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
    const phase = laterPhase(current.record.phase, report.phase)
    const record = toRecord(report, phase)
    const next = { record, sequence: report.sequence, reportedAt: now }
    if (isEquivalent(record, current.record)) this._incarnation = { ...next, record: current.record }
    else this._replace(next, 'reported')
    return 'accepted'
  }

  private _replace (next: IIncarnation, cause: string): void {
    const previous = this._incarnation?.record
    this._incarnation = next
    const { record } = next
    this._log.log(ENDPOINT_CHANGED, {
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

const PHASE_ORDER: readonly EndpointPhase[] = ['silent', 'serving', 'draining', 'gone']

function laterPhase (left: EndpointPhase, right: EndpointPhase): EndpointPhase {
  return PHASE_ORDER.indexOf(left) > PHASE_ORDER.indexOf(right) ? left : right
}

/**
 * Negative if `left` belongs to an earlier incarnation than `right`, 0 if to the same one, positive if to a later one. If a start
 * time is unknown, a different id means a later incarnation, since only a running endpoint reports.
 */
function compareIncarnations (left: Pick<IEndpointRecord, 'id' | 'bornAt'>, right: Pick<IEndpointRecord, 'id' | 'bornAt'>): number {
  const areStartTimesKnown = left.bornAt > 0 && right.bornAt > 0
  if (areStartTimesKnown && left.bornAt !== right.bornAt) return left.bornAt - right.bornAt
  return left.id === right.id ? 0 : 1
}

function toRecord (report: IEndpointReport, phase: EndpointPhase): IEndpointRecord {
  const { id, bornAt, service, address, slots, warmUpLeft } = report
  return { id, bornAt, service, address, slots, phase, warmUpLeft }
}

/** Whether listeners need no notification of the difference; the remaining warm-up time is not compared, since it only counts down. */
function isEquivalent (left: IEndpointRecord, right: IEndpointRecord): boolean {
  return left.phase === right.phase && left.service === right.service && left.address === right.address &&
    left.slots === right.slots && left.bornAt === right.bornAt
}
