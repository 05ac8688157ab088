/** Decides when a node that stops tells the others, refuses their requests, and ends. */
import type { Milliseconds, Timestamp } from '../../common/Types.js'

/** What to do now; each of the first two is given once. */
export type StopStep = 'wait' | 'announce' | 'refuse' | 'end'

/** Parts of a stop. */
export interface IStopScheduleOptions {
  /** Callers notice within this time that the node is not ready; their requests are served until then. */
  readonly callersGone: Milliseconds
  /** When the other nodes are told, so that they are without the endpoint as shortly as possible. */
  readonly announceAt: Milliseconds
  /** When requests of other nodes that have not heard of it yet are refused as not run. */
  readonly refuseAt: Milliseconds
  /** Left of the time for the stop when requests that still run are cut. */
  readonly reserve: Milliseconds
}

/** Defaults of `StopSchedule`. The platform asks once a second and takes a node out after two misses. */
export const DEFAULT_STOP_SCHEDULE_OPTIONS: IStopScheduleOptions = Object.freeze({
  callersGone: 2_400 as Milliseconds, announceAt: 1_300 as Milliseconds, refuseAt: 2_100 as Milliseconds, reserve: 500 as Milliseconds
})

/** Answers planned stops of nodes in turn: no request is cut, and the endpoint is away as shortly as possible. */
export class StopSchedule {
  private readonly _options: IStopScheduleOptions
  private _isAnnounced = false
  private _isRefusing = false

  constructor (private readonly _startedAt: Timestamp, private readonly _limit: Milliseconds, options: Partial<IStopScheduleOptions> = {}) {
    this._options = { ...DEFAULT_STOP_SCHEDULE_OPTIONS, ...options }
  }

  public next (inFlight: number, now: Timestamp): StopStep {
    const elapsed = now - this._startedAt
    const { callersGone, announceAt, refuseAt, reserve } = this._options
    if (!this._isAnnounced && elapsed >= Math.min(announceAt, this._limit / 4)) {
      this._isAnnounced = true
      return 'announce'
    }
    if (!this._isRefusing && elapsed >= Math.min(refuseAt, this._limit / 2)) {
      this._isRefusing = true
      return 'refuse'
    }
    if (elapsed >= this._limit - reserve) return 'end'
    return inFlight === 0 && this._isRefusing && elapsed >= callersGone ? 'end' : 'wait'
  }
}
