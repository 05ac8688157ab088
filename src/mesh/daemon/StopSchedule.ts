/** Decides when a node that stops tells the others, refuses their requests, and ends. */
import type { Milliseconds, Timestamp } from '../../common/Types.js'

/** What to do now; `announce`, `refuse-nodes` and `refuse-callers` are given once each. */
export type StopStep = 'wait' | 'announce' | 'refuse-nodes' | 'refuse-callers' | 'end'

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
  callersGone: 2_400 as Milliseconds, announceAt: 1_300 as Milliseconds, refuseAt: 2_100 as Milliseconds, reserve: 900 as Milliseconds
})

/** Answers planned stops of nodes in turn: no request is cut, and the endpoint is away as shortly as possible. */
export class StopSchedule {
  private readonly _options: IStopScheduleOptions
  private readonly _steps: Array<{ readonly step: StopStep, readonly at: number }>

  constructor (private readonly _startedAt: Timestamp, private readonly _limit: Milliseconds, options: Partial<IStopScheduleOptions> = {}) {
    this._options = { ...DEFAULT_STOP_SCHEDULE_OPTIONS, ...options }
    const { announceAt, refuseAt, callersGone } = this._options
    this._steps = [
      { step: 'announce', at: Math.min(announceAt, _limit / 4) },
      { step: 'refuse-nodes', at: Math.min(refuseAt, _limit / 2) },
      // Callers that have not gone by then are told to, or their requests would be cut at the end.
      { step: 'refuse-callers', at: Math.min(callersGone, _limit / 2) }
    ]
  }

  public next (inFlight: number, now: Timestamp): StopStep {
    const elapsed = now - this._startedAt
    const [due] = this._steps
    if (due !== undefined && elapsed >= due.at) {
      this._steps.shift()
      return due.step
    }
    if (elapsed >= this._limit - this._options.reserve) return 'end'
    return due === undefined && inFlight === 0 && elapsed >= Math.min(this._options.callersGone, this._limit / 2) ? 'end' : 'wait'
  }
}
