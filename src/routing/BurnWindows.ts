/** Time windows of the burn report, and the counts of one service at one node. */
import type { Milliseconds } from '../common/Types.js'
import { BurnRing, type IBurnSum } from './BurnRing.js'
import type { IBurnWindow } from './Services.js'

const MINUTE_MS = 60_000
const HOUR_MS = 60 * MINUTE_MS
const HOUR_MINUTES = 60
const RING_HOURS = 72

/** Windows over which burn rates are computed: 5 minutes, 1 hour, 6 hours, 3 days. */
export const BURN_WINDOWS_MS: readonly Milliseconds[] = Object.freeze(
  [5 * MINUTE_MS, HOUR_MS, 6 * HOUR_MS, RING_HOURS * HOUR_MS] as Milliseconds[]
)

/** Counts by minute for one hour and by hour for three days; uses 1 KB for each service. */
export class BurnWindows {
  private readonly _minutes = new BurnRing(MINUTE_MS, HOUR_MINUTES)
  private readonly _hours = new BurnRing(HOUR_MS, RING_HOURS)

  /** Counts one call. */
  public add (isGood: boolean, now: number): void {
    this._minutes.add(isGood, now)
    this._hours.add(isGood, now)
  }

  /** Returns the windows up to `now`. Windows longer than an hour start at a full hour. */
  public read (objectivePercent: number, now: number): readonly IBurnWindow[] {
    return BURN_WINDOWS_MS.map((window) => {
      const ring = window > HOUR_MS ? this._hours : this._minutes
      return toBurnWindow(window, ring.sum(window, now), objectivePercent)
    })
  }
}

/** Computes the burn rate of one window; 0 without calls. */
export function toBurnWindow (window: Milliseconds, { good, bad }: IBurnSum, objectivePercent: number): IBurnWindow {
  const total = good + bad
  const allowedShare = (100 - objectivePercent) / 100
  const burnRate = total === 0 ? 0 : bad / total / allowedShare
  return { window, good, bad, burnRate }
}
