/** Timing of the exchange of versions over one link. */
import type { Milliseconds } from '../common/Types.js'

/** Delays and intervals of a `DocumentSession`. */
export interface ISessionTiming {
  /** Minimum time between two announcements; versions that are added in this time go into the second announcement. */
  readonly batchDelay: Milliseconds
  /** Mean time between two digests; the actual time is random between 0.5 and 1.5 times this value. */
  readonly digestInterval: Milliseconds
  /** Time for which two digests must differ before the complete version vector is sent. */
  readonly mismatchDelay: Milliseconds
  /** Minimum time between two vectors to one peer; doubled with each vector until the digests are equal again. */
  readonly vectorInterval: Milliseconds
  /** Upper bound of the doubled `vectorInterval`. */
  readonly maximumVectorInterval: Milliseconds
}

/** Defaults of `ISessionTiming`. */
export const DEFAULT_SESSION_TIMING: ISessionTiming = Object.freeze({
  batchDelay: 20 as Milliseconds,
  digestInterval: 2_000 as Milliseconds,
  mismatchDelay: 400 as Milliseconds,
  vectorInterval: 1_000 as Milliseconds,
  maximumVectorInterval: 60_000 as Milliseconds
})
