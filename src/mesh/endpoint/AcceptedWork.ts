/** Tracks the recent rate of work that an endpoint accepted, by rank. */
import { decayedWeight } from '../../common/Decay.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'

/** Half-life of the weight of accepted work: long enough to cover several requests per slot, short enough to follow a burst. */
const HALF_LIFE_MS = 1_000
/** Divisor that turns a sum of work weighted by the half-life into a rate. */
const MEAN_LIFE_MS = HALF_LIFE_MS / Math.LN2

/** Decayed sum of the work of one rank at the time `at`. */
interface IDecayingWork {
  work: number
  at: Timestamp
}

/** Exponentially decaying sums of the expected service times of accepted requests, by rank. */
export class AcceptedWork {
  private readonly _ranks = new Map<number, IDecayingWork>()

  /** Records an accepted request. */
  public record (rank: number, expected: Milliseconds, now: Timestamp): void {
    const known = this._ranks.get(rank)
    if (known === undefined) {
      this._ranks.set(rank, { work: expected, at: now })
      return
    }
    known.work = decayedWork(known, now) + expected
    known.at = now
  }

  /** Average number of slots that requests of this rank and of higher ranks occupy; `isOwnRankExcluded`: of higher ranks only. */
  public busySlots (rank: number, isOwnRankExcluded: boolean, now: Timestamp): number {
    let work = 0
    for (const [other, entry] of this._ranks) {
      if (other < rank || (other === rank && !isOwnRankExcluded)) work += decayedWork(entry, now)
    }
    return work / MEAN_LIFE_MS
  }
}

function decayedWork ({ work, at }: IDecayingWork, now: Timestamp): number {
  return work * decayedWeight(now - at, HALF_LIFE_MS)
}
