/** Running estimate of how long an endpoint takes for a request. */
import { remainingWeight } from '../common/Decay.js'
import type { Milliseconds, Timestamp } from '../common/Types.js'

/** Weight of a new observation. */
const NEW_WEIGHT = 0.1
/** Without observations the estimate halves in this time, so that a slow phase is not remembered for ever. */
const HALF_LIFE_MS = 1_000

/** Exponentially weighted mean that fades while nothing is observed. */
export class ServiceTimeEstimate {
  private _mean = 0
  private _observedAt = 0

  /** Takes the service time of one finished request. */
  public observe (duration: Milliseconds, now: Timestamp): void {
    this._mean = this._mean === 0 ? duration : this._mean + NEW_WEIGHT * (duration - this._mean)
    this._observedAt = now
  }

  /** Expected service time; 0 if nothing is known. */
  public value (now: Timestamp): Milliseconds {
    return this._mean * remainingWeight(now - this._observedAt - HALF_LIFE_MS, HALF_LIFE_MS) as Milliseconds
  }
}
