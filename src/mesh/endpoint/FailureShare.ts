/** Share of recent requests that an endpoint failed or turned away. */
import { remainingWeight } from '../../common/Decay.js'
import type { Timestamp } from '../../common/Types.js'

/** Weight of the newest request in the moving average. */
const NEWEST_WEIGHT = 0.12
/** Time without a request in which the share halves, so that an endpoint that was left alone is tried again. */
const HALF_LIFE_MS = 2_500
const PERCENT = 100

/** Answers an endpoint that fails part of its requests while it says that it is well. */
export class FailureShare {
  private _share = 0
  private _recordedAt = 0

  /** Takes the end of one request. */
  public record (isFailure: boolean, now: Timestamp): void {
    this._share = this._faded(now) + NEWEST_WEIGHT * ((isFailure ? 1 : 0) - this._faded(now))
    this._recordedAt = now
  }

  /** In percent. */
  public value (now: Timestamp): number {
    return Math.round(this._faded(now) * PERCENT)
  }

  /** A new incarnation begins without a past. */
  public reset (): void {
    this._share = 0
  }

  private _faded (now: Timestamp): number {
    return this._share * remainingWeight(now - this._recordedAt, HALF_LIFE_MS)
  }
}
