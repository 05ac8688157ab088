/** How much work of each rank an endpoint has been given lately. */
import { remainingWeight } from '../../common/Decay.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'

/** Time in which the weight of accepted work halves: long enough for some requests a slot, short enough to follow a burst. */
const HALF_LIFE_MS = 1_000
/** Work that is weighed by a half-life, divided by this, is its rate. */
const MEAN_LIFE_MS = HALF_LIFE_MS / Math.LN2

/** Work of one rank, as of a moment. */
interface IDecayingWork {
  work: number
  at: Timestamp
}

/** Decaying sums of the expected time of accepted requests, by rank. */
export class AcceptedWork {
  private readonly _ranks = new Map<number, IDecayingWork>()

  /** Takes a request that was accepted. */
  public record (rank: number, expected: Milliseconds, now: Timestamp): void {
    const known = this._ranks.get(rank)
    if (known === undefined) {
      this._ranks.set(rank, { work: expected, at: now })
      return
    }
    known.work = faded(known, now) + expected
    known.at = now
  }

  /** Slots that requests of this rank and of those above it keep busy; `isAboveOnly`: of those above it alone. */
  public slotsBusy (rank: number, isAboveOnly: boolean, now: Timestamp): number {
    let work = 0
    for (const [other, entry] of this._ranks) {
      if (other < rank || (other === rank && !isAboveOnly)) work += faded(entry, now)
    }
    return work / MEAN_LIFE_MS
  }
}

function faded ({ work, at }: IDecayingWork, now: Timestamp): number {
  return work * remainingWeight(now - at, HALF_LIFE_MS)
}
