/** Rendezvous hashing: all nodes with the same member view compute the same ranking. */
import { createHash } from 'node:crypto'
import type { NodeId } from '../common/Types.js'

/** Reduces scores to 30 bits, so that V8 stores them as small integers without a heap allocation. */
const SMALL_INTEGER_SHIFT = 2

/** Maximum number of cached scores; far above the number of members. */
const MAXIMUM_CACHED_SCORES = 65_536

/** Ranks members for one key by a score that depends only on the key and the member. */
export class Rendezvous<TId extends string = NodeId> {
  private readonly _scores = new Map<TId, number>()

  constructor (private readonly _key: string) {}

  /** Returns the `count` highest-ranked members, the highest first. */
  public top (members: Iterable<TId>, count: number): readonly TId[] {
    const best: TId[] = []
    for (const id of members) {
      const position = best.findIndex((other) => this._isRankedHigher(id, other))
      if (position >= 0) best.splice(position, 0, id)
      else if (best.length < count) best.push(id)
      if (best.length > count) best.pop()
    }
    return best
  }

  private _isRankedHigher (first: TId, second: TId): boolean {
    const difference = this._score(first) - this._score(second)
    return difference === 0 ? first > second : difference > 0
  }

  private _score (id: TId): number {
    let score = this._scores.get(id)
    if (score === undefined) {
      if (this._scores.size >= MAXIMUM_CACHED_SCORES) this._scores.clear()
      score = createHash('sha256').update(this._key).update(id).digest().readUInt32LE(0) >>> SMALL_INTEGER_SHIFT
      this._scores.set(id, score)
    }
    return score
  }
}
