/** Timing of the exchange of versions over one link. */
import type { Milliseconds } from '../common/Types.js'

/** Timing of a session. */
export interface ISessionTiming {
  /** Shortest time between two announcements; what is learned meanwhile goes into the second one. */
  readonly batchDelay: Milliseconds
  /** Time between two digests; the actual time is drawn from half of it to one and a half. */
  readonly digestInterval: Milliseconds
  /** Time that a difference of digests must last before the whole vector is sent. */
  readonly differenceDelay: Milliseconds
  /** Shortest time between two vectors to one peer; doubled while a difference lasts. */
  readonly vectorInterval: Milliseconds
  /** Upper bound of the doubling. */
  readonly vectorIntervalLimit: Milliseconds
}

/** Defaults of the timing. */
export const DEFAULT_SESSION_TIMING: ISessionTiming = Object.freeze({
  batchDelay: 20 as Milliseconds,
  digestInterval: 2_000 as Milliseconds,
  differenceDelay: 400 as Milliseconds,
  vectorInterval: 1_000 as Milliseconds,
  vectorIntervalLimit: 60_000 as Milliseconds
})
