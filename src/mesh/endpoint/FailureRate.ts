/** Share of recent requests that failed at an endpoint or that it refused. */
import { decayedWeight } from '../../common/Decay.js'
import type { Timestamp } from '../../common/Types.js'

/** Weight of the newest request in the moving average. */
const NEWEST_WEIGHT = 0.12
/** Half-life of the rate while no request is sent, so that an endpoint that gets no requests because of failures is tried again. */
const HALF_LIFE_MS = 2_500
const PERCENT = 100

/** Exponential moving average that detects an endpoint which reports itself healthy but fails part of its requests. */
export class FailureRate {
  private _rate = 0
  private _recordedAt = 0

  /** Records the result of one request. */
  public record (isFailure: boolean, now: Timestamp): void {
    this._rate = this._decayedRate(now) + NEWEST_WEIGHT * ((isFailure ? 1 : 0) - this._decayedRate(now))
    this._recordedAt = now
  }

  /** Failure rate in percent. */
  public value (now: Timestamp): number {
    return Math.round(this._decayedRate(now) * PERCENT)
  }

  /** Discards the history; called for a new incarnation of the endpoint. */
  public reset (): void {
    this._rate = 0
  }

  private _decayedRate (now: Timestamp): number {
    return this._rate * decayedWeight(now - this._recordedAt, HALF_LIFE_MS)
  }
}
