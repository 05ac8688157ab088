/** Load balancing by the power of two random choices. */
import type { IRandomService } from '../common/Services.js'
import type { Timestamp } from '../common/Types.js'
import type { EndpointStatistics } from './EndpointStatistics.js'
import type { IBalancer, ISlowStartRule } from './Types.js'

/** Selects the less loaded of two different random endpoints; the load is relative to the usable slots. */
export class TwoChoicesBalancer implements IBalancer {
  constructor (private readonly _random: IRandomService, private readonly _rule: ISlowStartRule) {}

  public choose (candidates: readonly EndpointStatistics[], now: Timestamp): EndpointStatistics {
    const count = candidates.length
    const firstAt = this._random.integer(count)
    const first = candidates[firstAt] as EndpointStatistics
    if (count === 1) return first
    const step = 1 + this._random.integer(count - 1)
    const second = candidates[(firstAt + step) % count] as EndpointStatistics
    return this._score(second, now) < this._score(first, now) ? second : first
  }

  private _score (candidate: EndpointStatistics, now: Timestamp): number {
    return (candidate.estimatedLoad(now) + 1) / Math.max(candidate.usableSlots(this._rule.slowStart, now), Number.EPSILON)
  }
}
