/** The endpoint beside this node, by its own reports. */
import { Emitter } from '../../common/Emitter.js'
import type { ILogService } from '../../common/Services.js'
import type { EndpointId, IEvent, Timestamp } from '../../common/Types.js'
import { ENDPOINT_CHANGED } from '../Events.js'
import type { ILocalEndpoint, ReportOutcome } from '../Services.js'
import type { EndpointPhase, IEndpointRecord, IEndpointReport } from '../Types.js'

/** Sequence of an endpoint that is known only from the row that an earlier process wrote. */
const NO_SEQUENCE = -1

/** Silence after which an endpoint gives way to one whose birth is earlier; longer than three heartbeats. */
const SUPERSEDED_AFTER_MS = 5_000

/** One incarnation. */
interface IIncarnation {
  readonly record: IEndpointRecord
  readonly sequence: number
  readonly heardAt: Timestamp
}

/** Takes each report once, in order, and only of the newest incarnation. A phase never goes back within one. */
export class LocalEndpoint implements ILocalEndpoint {
  private readonly _onChanged = new Emitter<IEndpointRecord>()
  private _incarnation: IIncarnation | undefined
  /** Incarnation that deregistered before this process knew of it, so that neither an earlier process's record nor a report revives it. */
  private _leftBefore: Pick<IEndpointRecord, 'id' | 'bornAt'> | undefined
  private _isWaitOver = false
  /** Last report of an endpoint that was taken for an earlier incarnation. */
  private _outdated: IEndpointReport | undefined

  constructor (private readonly _log: ILogService) {}

  public get record (): IEndpointRecord | undefined {
    return this._incarnation?.record
  }

  /** When the endpoint reported last; undefined if it has not reported to this process. */
  public get heardAt (): Timestamp | undefined {
    const incarnation = this._incarnation
    return incarnation === undefined || incarnation.sequence === NO_SEQUENCE ? undefined : incarnation.heardAt
  }

  /** Fires when service, address or phase changed, or a new incarnation began. */
  public get onChanged (): IEvent<IEndpointRecord> {
    return this._onChanged.event
  }

  /**
   * Takes the endpoint as an earlier process of this node left it, unless it has reported meanwhile. Of one that has, or that is
   * known already, only the leaving is taken: a phase never goes back within an incarnation, whichever process learnt it.
   */
  public adopt (record: IEndpointRecord, now: Timestamp): void {
    const present = this._incarnation
    const order = present === undefined ? 1 : compareIncarnations(record, present.record)
    if (order > 0 && this.heardAt === undefined) this._replace({ record: this._adopted(record), sequence: NO_SEQUENCE, heardAt: now }, 'adopted')
    if (present === undefined || order !== 0 || record.phase === 'serving') return
    const phase = furtherPhase(present.record.phase, record.phase)
    if (phase !== present.record.phase) this._replace({ ...present, record: { ...present.record, phase } }, 'adopted')
  }

  /** From now on an endpoint that has not reported to this process gets no request: it may have left, and an earlier process told so. */
  public endWait (): void {
    this._isWaitOver = true
    const present = this._incarnation
    if (present === undefined || this.heardAt !== undefined || present.record.phase !== 'serving') return
    this._replace({ ...present, record: { ...present.record, phase: 'silent' } }, 'silent')
  }

  public report (report: IEndpointReport, now: Timestamp): ReportOutcome {
    const present = this._incarnation
    if (present !== undefined) {
      const order = compareIncarnations(report, present.record)
      if (order < 0 && !this._supersedes(report, present, now)) return 'outdated'
      if (order === 0 && report.sequence <= present.sequence) return 'outdated'
      if (order === 0) return this._continue(present, report, now)
    }
    const phase = this._hasLeft(report) ? 'gone' : report.phase
    this._replace({ record: toRecord(report, phase), sequence: report.sequence, heardAt: now }, 'reported')
    return 'accepted'
  }

  public leave (id: EndpointId, bornAt: number, now: Timestamp): ReportOutcome {
    const present = this._incarnation
    const order = present === undefined ? 1 : compareIncarnations({ id, bornAt }, present.record)
    // Without a birth it may be the late word of an incarnation long before the present one.
    if (present === undefined || (order > 0 && bornAt > 0)) this._leftBefore = { id, bornAt }
    if (present === undefined || order !== 0) return 'outdated'
    if (present.record.phase !== 'gone') this._replace({ ...present, record: { ...present.record, phase: 'gone' }, heardAt: now }, 'deregistered')
    return 'accepted'
  }

  private _adopted (record: IEndpointRecord): IEndpointRecord {
    if (this._hasLeft(record)) return { ...record, phase: 'gone' }
    return this._isWaitOver && record.phase === 'serving' ? { ...record, phase: 'silent' } : record
  }

  private _hasLeft (incarnation: Pick<IEndpointRecord, 'id' | 'bornAt'>): boolean {
    const left = this._leftBefore
    return left?.id === incarnation.id && compareIncarnations(incarnation, left) <= 0
  }

  /**
   * Whether an incarnation of an earlier birth has taken the place of the present one all the same: births are read from a
   * clock that may have been set back between two starts. A late report comes alone, or while the present one reports.
   */
  private _supersedes (report: IEndpointReport, present: IIncarnation, now: Timestamp): boolean {
    const before = this._outdated
    this._outdated = report
    const isRepeated = before !== undefined && compareIncarnations(before, report) === 0 && before.sequence < report.sequence
    return isRepeated && now - present.heardAt >= SUPERSEDED_AFTER_MS
  }

  /** A later report of the same incarnation. */
  private _continue (present: IIncarnation, report: IEndpointReport, now: Timestamp): ReportOutcome {
    const phase = furtherPhase(present.record.phase, report.phase)
    const record = toRecord(report, phase)
    const next = { record, sequence: report.sequence, heardAt: now }
    if (isSame(record, present.record)) this._incarnation = { ...next, record: present.record }
    else this._replace(next, 'reported')
    return 'accepted'
  }

  private _replace (next: IIncarnation, cause: string): void {
    const before = this._incarnation?.record
    this._incarnation = next
    const { record } = next
    this._log.log(ENDPOINT_CHANGED, {
      step: 'endpoint.report',
      endpoint: record.id,
      service: record.service,
      phase: record.phase,
      phaseBefore: before?.phase,
      endpointBefore: before?.id,
      sequence: next.sequence,
      cause
    })
    this._onChanged.fire(record)
  }
}

const PHASES: readonly EndpointPhase[] = ['silent', 'serving', 'draining', 'gone']

function furtherPhase (left: EndpointPhase, right: EndpointPhase): EndpointPhase {
  return PHASES.indexOf(left) > PHASES.indexOf(right) ? left : right
}

/**
 * Below 0: `left` is of an earlier incarnation than `right`; 0: of the same one; above 0: of a later one.
 * Without births another id is a later incarnation, since only a running endpoint reports.
 */
function compareIncarnations (left: Pick<IEndpointRecord, 'id' | 'bornAt'>, right: Pick<IEndpointRecord, 'id' | 'bornAt'>): number {
  const areBirthsKnown = left.bornAt > 0 && right.bornAt > 0
  if (areBirthsKnown && left.bornAt !== right.bornAt) return left.bornAt - right.bornAt
  return left.id === right.id ? 0 : 1
}

function toRecord (report: IEndpointReport, phase: EndpointPhase): IEndpointRecord {
  const { id, bornAt, service, address, slots, warmUpLeft } = report
  return { id, bornAt, service, address, slots, phase, warmUpLeft }
}

/** Whether others need not hear of the difference; the warm-up runs down by itself. */
function isSame (left: IEndpointRecord, right: IEndpointRecord): boolean {
  return left.phase === right.phase && left.service === right.service && left.address === right.address &&
    left.slots === right.slots && left.bornAt === right.bornAt
}
