/** Load balancing by random choice. */
import type { IRandomService } from '../common/Services.js'
import type { EndpointStatistics } from './EndpointStatistics.js'
import type { IBalancer } from './Types.js'

/** Selects each endpoint with equal probability, regardless of its load. */
export class RandomBalancer implements IBalancer {
  constructor (private readonly _random: IRandomService) {}

  public choose (candidates: readonly EndpointStatistics[]): EndpointStatistics {
    return candidates[this._random.integer(candidates.length)] as EndpointStatistics
  }
}
