/** Decides when a node that stops tells the others, refuses their requests, and ends. */
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import type { IStopBounds } from '../Services.js'

/** What to do now; all but `wait` are given once each. `conclude`: answer what still runs. */
export type StopStep = 'wait' | 'announce' | 'refuse-nodes' | 'refuse-callers' | 'conclude' | 'end'

/** How far the stop has come. */
export interface IStopProgress {
  /** Requests without a whole answer. */
  readonly inFlight: number
  /** When the platform was told for the first time that the node is not ready; undefined if it has not asked yet. */
  readonly noticedAt: Timestamp | undefined
}

/** Parts of a stop. */
export interface IStopScheduleOptions {
  /** Callers notice within this time that the node is not ready; their requests are served until then. */
  readonly callersGone: Milliseconds
  /** Time between two questions of the platform; callers go elsewhere after the second one that was answered with no. */
  readonly questionInterval: Milliseconds
  /** Time for callers to go once the platform knows, and for requests that were on their way. */
  readonly departure: Milliseconds
  /** When the other nodes are told at the latest, so that they are without the endpoint as shortly as possible. */
  readonly announceAt: Milliseconds
  /** Time between that and the moment from which requests of nodes that have not heard of it are refused as not run. */
  readonly announcement: Milliseconds
  /** Requests that may outlast the stop are taken until then; later ones must have a deadline within it. */
  readonly longRequests: Milliseconds
  /** Left of the time for the stop when requests that still run are answered; at most `reserveShare` of that time. */
  readonly reserve: Milliseconds
  readonly reserveShare: number
  /** Left when the process ends although answers are not sent to their end; at most `endReserveShare` of the time for the stop. */
  readonly endReserve: Milliseconds
  readonly endReserveShare: number
  /** Part of the time for the stop in which a node without an endpoint serves callers; nobody waits for its return. */
  readonly servingShare: number
}

/** Defaults of `StopSchedule`. The platform asks once a second and takes a node out after two misses. */
export const DEFAULT_STOP_SCHEDULE_OPTIONS: IStopScheduleOptions = Object.freeze({
  callersGone: 2_400 as Milliseconds,
  questionInterval: 1_000 as Milliseconds,
  departure: 200 as Milliseconds,
  announceAt: 1_300 as Milliseconds,
  announcement: 800 as Milliseconds,
  longRequests: 2_800 as Milliseconds,
  reserve: 900 as Milliseconds,
  reserveShare: 0.15,
  endReserve: 300 as Milliseconds,
  endReserveShare: 0.05,
  servingShare: 0.5
})

/** Whether an endpoint that goes on running waits for the node's return, or has ended for good. */
export type StopKind = 'returning' | 'without-endpoint'

/**
 * Answers planned stops of nodes in turn: no request is cut, and the endpoint is away as shortly as possible. A node whose
 * endpoint has ended stays longer: in a failure domain with few ready nodes callers are sent to all of them, ready or not.
 * No request is left without an answer: one that is taken gets its deadline within the stop, or is refused.
 */
export class StopSchedule implements IStopBounds {
  private readonly _options: IStopScheduleOptions
  private readonly _given = new Set<StopStep>()

  constructor (
    private readonly _startedAt: Timestamp, private readonly _limit: Milliseconds, private readonly _kind: StopKind,
    options: Partial<IStopScheduleOptions> = {}
  ) {
    this._options = { ...DEFAULT_STOP_SCHEDULE_OPTIONS, ...options }
  }

  public next (progress: IStopProgress, now: Timestamp): StopStep {
    const elapsed = now - this._startedAt
    const noticed = progress.noticedAt === undefined ? Infinity : progress.noticedAt - this._startedAt
    const due: ReadonlyArray<readonly [StopStep, number]> = [
      ['announce', this._announceAt(noticed)],
      ['refuse-nodes', this._refuseNodesAt(noticed)],
      // Callers that have not gone by then are told to, or their requests would be cut at the end.
      ['refuse-callers', this._refuseCallersAt(noticed)]
    ]
    const step = due.find(([name, at]) => !this._given.has(name) && elapsed >= at)?.[0]
    if (step !== undefined) {
      this._given.add(step)
      return step
    }
    if (elapsed >= this._concludeAt) return this._lastStep(progress.inFlight, elapsed)
    return this._kind === 'returning' && this._given.size === due.length && progress.inFlight === 0 ? 'end' : 'wait'
  }

  public deadlineOf (deadlineAt: Timestamp, now: Timestamp): Timestamp | undefined {
    const latest = this._startedAt + this._concludeAt as Timestamp
    if (deadlineAt <= latest) return deadlineAt
    return now - this._startedAt < this._options.longRequests ? latest : undefined
  }

  private _lastStep (inFlight: number, elapsed: number): StopStep {
    if (inFlight === 0) return 'end'
    // A slow caller is still reading, or a request of another node runs; the process does as well until then.
    if (this._given.has('conclude')) return elapsed >= this._endAt ? 'end' : 'wait'
    this._given.add('conclude')
    return 'conclude'
  }

  private get _concludeAt (): number {
    const { reserve, reserveShare } = this._options
    return this._limit - Math.min(reserve, this._limit * reserveShare)
  }

  private get _endAt (): number {
    const { endReserve, endReserveShare } = this._options
    return this._limit - Math.min(endReserve, this._limit * endReserveShare)
  }

  private _announceAt (noticed: number): number {
    return Math.min(noticed, this._options.announceAt, this._limit / 4)
  }

  private _refuseNodesAt (noticed: number): number {
    return Math.min(this._announceAt(noticed) + this._options.announcement, this._limit / 2)
  }

  private _refuseCallersAt (noticed: number): number {
    const { callersGone, questionInterval, departure, servingShare } = this._options
    if (this._kind === 'without-endpoint') return this._limit * servingShare
    return Math.min(noticed + questionInterval + departure, callersGone, this._limit / 2)
  }
}
