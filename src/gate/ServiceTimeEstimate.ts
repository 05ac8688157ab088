/** Running estimate of the service time of an endpoint. */
import { decayedWeight } from '../common/Decay.js'
import type { Milliseconds, Timestamp } from '../common/Types.js'

/** Weight of a new observation in the exponentially weighted mean. */
const NEW_WEIGHT = 0.1
/** Half-life of the estimate while no request finishes; without the decay a slow phase would affect admission forever. */
const HALF_LIFE_MS = 1_000

/** Exponentially weighted mean that decays while no observation is made. */
export class ServiceTimeEstimate {
  private _mean = 0
  private _observedAt = 0

  /** Records the service time of one finished request. */
  public observe (duration: Milliseconds, now: Timestamp): void {
    this._mean = this._mean === 0 ? duration : this._mean + NEW_WEIGHT * (duration - this._mean)
    this._observedAt = now
  }

  /** Expected service time; 0 without observations. */
  public value (now: Timestamp): Milliseconds {
    return this._mean * decayedWeight(now - this._observedAt - HALF_LIFE_MS, HALF_LIFE_MS) as Milliseconds
  }
}
