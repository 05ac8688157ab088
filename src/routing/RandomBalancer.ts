/** Balancing by one random choice. */
import type { IRandomService } from '../common/Services.js'
import type { EndpointStatistics } from './EndpointStatistics.js'
import type { IBalancer } from './Types.js'

/** Takes any endpoint with equal chance; knows no load. */
export class RandomBalancer implements IBalancer {
  constructor (private readonly _random: IRandomService) {}

  public choose (candidates: readonly EndpointStatistics[]): EndpointStatistics {
    return candidates[this._random.integer(candidates.length)] as EndpointStatistics
  }
}
