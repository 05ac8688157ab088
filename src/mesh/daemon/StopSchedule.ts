/** Timing of a planned stop: when the node announces it, refuses new requests, and ends the process. */
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import type { IStopBounds } from '../Services.js'

/**
 * Next action of a planned stop. Each action except `wait` is returned once. `conclude`: send a final response to every request that is
 * still running.
 */
export type StopStep = 'wait' | 'announce' | 'refuse-nodes' | 'refuse-callers' | 'conclude' | 'end'

/** Current state of the stop. */
export interface IStopProgress {
  /** Requests whose response has not been sent completely. */
  readonly inFlight: number
  /** When a readiness probe of the platform first got the response that the node is not ready; undefined if none has been sent yet. */
  readonly notReadyReportedAt: Timestamp | undefined
}

/** Times of the steps of a stop, relative to the request to stop. */
export interface IStopScheduleOptions {
  /** Callers notice within this time that the node is not ready, so new requests are served until then and refused afterwards. */
  readonly refuseCallersAt: Milliseconds
  /** Time between two readiness probes of the platform; callers are sent to other nodes after the second failed probe. */
  readonly readinessProbeInterval: Milliseconds
  /** Time for callers to switch to other nodes after the second failed probe, and for requests in transit to arrive. */
  readonly callerRedirectDelay: Milliseconds
  /**
   * Latest time of the announcement to the other nodes, for a stop without an earlier readiness probe. It keeps the time short in which
   * the other nodes cannot use the endpoint.
   */
  readonly announceAt: Milliseconds
  /**
   * Time between the announcement of the stop and the refusal of requests from other nodes. Only nodes that have not received the
   * announcement still send requests then; these requests are refused as not executed.
   */
  readonly announcementPropagation: Milliseconds
  /** Until this time, requests with a deadline after the stop are accepted, with a shortened deadline. Later they are refused. */
  readonly acceptLongRequestsUntil: Milliseconds
  /** Time before the stop limit at which requests still running get their final response; at most `concludeReserveShare` of the limit. */
  readonly concludeReserve: Milliseconds
  readonly concludeReserveShare: number
  /** Time before the stop limit at which the process ends even if responses are incomplete; at most `endReserveShare` of the limit. */
  readonly endReserve: Milliseconds
  readonly endReserveShare: number
  /** Share of the stop limit during which a node without an endpoint still serves callers; no endpoint depends on its quick return. */
  readonly servingShare: number
}

/** Defaults of `StopSchedule`. The platform probes once a second and stops sending callers to a node after two failed probes. */
export const DEFAULT_STOP_SCHEDULE_OPTIONS: IStopScheduleOptions = Object.freeze({
  refuseCallersAt: 2_400 as Milliseconds,
  readinessProbeInterval: 1_000 as Milliseconds,
  callerRedirectDelay: 200 as Milliseconds,
  announceAt: 1_300 as Milliseconds,
  announcementPropagation: 800 as Milliseconds,
  acceptLongRequestsUntil: 2_800 as Milliseconds,
  concludeReserve: 900 as Milliseconds,
  concludeReserveShare: 0.15,
  endReserve: 300 as Milliseconds,
  endReserveShare: 0.05,
  servingShare: 0.5
})

/** `returning`: the endpoint keeps running and waits for the restart of the node; `without-endpoint`: the endpoint has stopped for good. */
export type StopKind = 'returning' | 'without-endpoint'

/**
 * Schedule of one planned stop. It lets requests finish and keeps the time short in which the endpoint is unavailable. A node
 * whose endpoint has stopped serves callers longer: in a failure domain with few ready nodes, callers are sent to all nodes, ready
 * or not. Every request gets a response: it is either accepted with a deadline within the stop, or refused.
 */
export class StopSchedule implements IStopBounds {
  private readonly _options: IStopScheduleOptions
  private readonly _performedSteps = new Set<StopStep>()

  constructor (
    private readonly _startedAt: Timestamp, private readonly _limit: Milliseconds, private readonly _kind: StopKind,
    options: Partial<IStopScheduleOptions> = {}
  ) {
    this._options = { ...DEFAULT_STOP_SCHEDULE_OPTIONS, ...options }
  }

  public next (progress: IStopProgress, now: Timestamp): StopStep {
    const elapsed = now - this._startedAt
    const notReadyReportedAfter = progress.notReadyReportedAt === undefined ? Infinity : progress.notReadyReportedAt - this._startedAt
    const due: ReadonlyArray<readonly [StopStep, number]> = [
      ['announce', this._announceAt(notReadyReportedAfter)],
      ['refuse-nodes', this._refuseNodesAt(notReadyReportedAfter)],
      // Refuses callers that still use this node; otherwise their requests would be interrupted at the end of the process.
      ['refuse-callers', this._refuseCallersAt(notReadyReportedAfter)]
    ]
    const step = due.find(([name, at]) => !this._performedSteps.has(name) && elapsed >= at)?.[0]
    if (step !== undefined) {
      this._performedSteps.add(step)
      return step
    }
    if (elapsed >= this._concludeAt) return this._lastStep(progress.inFlight, elapsed)
    return this._kind === 'returning' && this._performedSteps.size === due.length && progress.inFlight === 0 ? 'end' : 'wait'
  }

  public deadlineOf (deadlineAt: Timestamp, now: Timestamp): Timestamp | undefined {
    const latest = this._startedAt + this._concludeAt as Timestamp
    if (deadlineAt <= latest) return deadlineAt
    return now - this._startedAt < this._options.acceptLongRequestsUntil ? latest : undefined
  }

  private _lastStep (inFlight: number, elapsed: number): StopStep {
    if (inFlight === 0) return 'end'
    // A slow caller is still reading its response, or a request of another node is running: the process waits until `_endAt`.
    if (this._performedSteps.has('conclude')) return elapsed >= this._endAt ? 'end' : 'wait'
    this._performedSteps.add('conclude')
    return 'conclude'
  }

  private get _concludeAt (): number {
    const { concludeReserve, concludeReserveShare } = this._options
    return this._limit - Math.min(concludeReserve, this._limit * concludeReserveShare)
  }

  private get _endAt (): number {
    const { endReserve, endReserveShare } = this._options
    return this._limit - Math.min(endReserve, this._limit * endReserveShare)
  }

  private _announceAt (notReadyReportedAfter: number): number {
    return Math.min(notReadyReportedAfter, this._options.announceAt, this._limit / 4)
  }

  private _refuseNodesAt (notReadyReportedAfter: number): number {
    return Math.min(this._announceAt(notReadyReportedAfter) + this._options.announcementPropagation, this._limit / 2)
  }

  private _refuseCallersAt (notReadyReportedAfter: number): number {
    const { refuseCallersAt, readinessProbeInterval, callerRedirectDelay, servingShare } = this._options
    if (this._kind === 'without-endpoint') return this._limit * servingShare
    return Math.min(notReadyReportedAfter + readinessProbeInterval + callerRedirectDelay, refuseCallersAt, this._limit / 2)
  }
}
