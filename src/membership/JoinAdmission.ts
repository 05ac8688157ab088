/** Limits the rate at which a node admits new members. */
import { durationBetween } from '../common/Ids.js'
import type { Timestamp } from '../common/Types.js'

const MILLISECONDS_PER_SECOND = 1_000

/** Rate and burst of admitted joins. */
export interface IJoinAdmissionOptions {
  readonly joinsPerSecond: number
  readonly joinBurst: number
}

/** Token bucket with one token per admitted join. */
export class JoinAdmission {
  private _tokens: number
  private _refilledAt: Timestamp | undefined

  constructor (private readonly _options: IJoinAdmissionOptions) {
    this._tokens = _options.joinBurst
  }

  /** Consumes a token; returns false if none is available. */
  public admit (now: Timestamp): boolean {
    const { joinsPerSecond, joinBurst } = this._options
    const elapsed = this._refilledAt === undefined ? 0 : durationBetween(this._refilledAt, now)
    this._refilledAt = now
    this._tokens = Math.min(joinBurst, this._tokens + elapsed * joinsPerSecond / MILLISECONDS_PER_SECOND)
    if (this._tokens < 1) return false
    this._tokens--
    return true
  }
}
