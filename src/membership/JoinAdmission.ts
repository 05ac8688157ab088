/** Bounds the rate at which a node admits new members. */
import { durationBetween } from '../common/Ids.js'
import type { Timestamp } from '../common/Types.js'

const MILLISECONDS_PER_SECOND = 1_000

/** How many joins are admitted. */
export interface IJoinAdmissionOptions {
  readonly joinsPerSecond: number
  readonly joinBurst: number
}

/** A token bucket. */
export class JoinAdmission {
  private _tokens: number
  private _filledAt: Timestamp | undefined

  constructor (private readonly _options: IJoinAdmissionOptions) {
    this._tokens = _options.joinBurst
  }

  /** Takes a token; false if none is left. */
  public admit (now: Timestamp): boolean {
    const { joinsPerSecond, joinBurst } = this._options
    const elapsed = this._filledAt === undefined ? 0 : durationBetween(this._filledAt, now)
    this._filledAt = now
    this._tokens = Math.min(joinBurst, this._tokens + elapsed * joinsPerSecond / MILLISECONDS_PER_SECOND)
    if (this._tokens < 1) return false
    this._tokens--
    return true
  }
}
