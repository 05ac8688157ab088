/** Endpoints of one service with their statistics, and the selection of an endpoint for a call. */
import type { IRandomService } from '../common/Services.js'
import type { EndpointId, ILocation, Timestamp } from '../common/Types.js'
import type { IPoolResource } from '../documents/Types.js'
import type { IRoutableEndpoint } from '../membership/Types.js'
import { EndpointStatistics } from './EndpointStatistics.js'
import { LocalityTiers, localityTier } from './LocalityTiers.js'
import type { OutlierDetector } from './OutlierDetector.js'
import { RandomBalancer } from './RandomBalancer.js'
import { TwoChoicesBalancer } from './TwoChoicesBalancer.js'
import type { IBalancer } from './Types.js'

/** Dependencies of `EndpointPool`. */
export interface IEndpointPoolOptions {
  /** Where this process runs. */
  readonly location: ILocation
  readonly random: IRandomService
  readonly detector: OutlierDetector
}

/** Number of calls between two calls that are sent to another endpoint for comparison. */
export const DEFAULT_COMPARISON_OPTIONS = Object.freeze({ comparisonInterval: 500, urgentComparisonInterval: 10 })

/** Keeps the statistics of endpoints when the member view changes. */
export class EndpointPool {
  private readonly _tiers = new LocalityTiers()
  private readonly _balancers = new WeakMap<IPoolResource, IBalancer>()
  private _lastEndpoints: readonly IRoutableEndpoint[] | undefined
  private _all: readonly EndpointStatistics[] = []
  private _callsSinceComparison = 0

  constructor (private readonly _options: IEndpointPoolOptions) {}

  /** All endpoints, including ejected and unavailable ones. */
  public get all (): readonly EndpointStatistics[] {
    return this._all
  }

  /** Replaces the endpoints by those of the member view; does nothing if the array is the same as before. */
  public update (endpoints: readonly IRoutableEndpoint[], now: Timestamp): void {
    if (endpoints === this._lastEndpoints) return
    this._lastEndpoints = endpoints
    const known = new Map<EndpointId, EndpointStatistics>()
    for (const statistics of this._all) known.set(statistics.endpoint.id, statistics)
    this._all = endpoints.map((endpoint) => this._updateOrCreate(known.get(endpoint.id), endpoint, now))
  }

  /** Returns the nearest endpoints with free capacity, without those in `excluded`; empty if there are none. */
  public preferred (resource: IPoolResource, excluded: readonly EndpointStatistics[], now: Timestamp): readonly EndpointStatistics[] {
    const open = this._availableEndpoints(excluded, now)
    if (open.length === 0) return open
    return this._tiers.select(this._options.detector.eligible(open, now), resource.spillAt, now)
  }

  /**
   * Returns, at intervals, another endpoint of the region if the only preferred endpoint has no peers whose latency could be
   * compared: often while the preferred endpoint is slower than usual, otherwise rarely. Endpoints of other regions are never
   * used for comparison, because traffic between regions is charged.
   */
  public chooseForComparison (preferred: readonly EndpointStatistics[], now: Timestamp): EndpointStatistics | undefined {
    const [only] = preferred
    if (only === undefined || preferred.length > 1 || this._all.length === 1) return undefined
    this._callsSinceComparison++
    const { comparisonInterval, urgentComparisonInterval } = DEFAULT_COMPARISON_OPTIONS
    if (this._callsSinceComparison < (only.isSlowerThanUsual() ? urgentComparisonInterval : comparisonInterval)) return undefined
    this._callsSinceComparison = 0
    const others = this._availableEndpoints([only], now).filter((candidate) => candidate.tier <= 1 && !candidate.isEjected(now))
    return others.length === 0 ? undefined : others[this._options.random.integer(others.length)]
  }

  /** Chooses one of the preferred endpoints by the pool's policy. */
  public choose (resource: IPoolResource, preferred: readonly EndpointStatistics[], now: Timestamp): EndpointStatistics {
    return this._balancer(resource).choose(preferred, now)
  }

  /**
   * Returns endpoints on reachable nodes that have not refused recently. If there are none, returns all endpoints that are not
   * excluded, because each gate refuses the calls that it can't run.
   */
  private _availableEndpoints (excluded: readonly EndpointStatistics[], now: Timestamp): readonly EndpointStatistics[] {
    const untried = excluded.length === 0 ? this._all : this._all.filter((candidate) => !excluded.includes(candidate))
    const open = untried.filter((candidate) => candidate.endpoint.isReachable && candidate.isOpen(now))
    return open.length > 0 ? open : untried
  }

  private _updateOrCreate (known: EndpointStatistics | undefined, endpoint: IRoutableEndpoint, now: Timestamp): EndpointStatistics {
    if (known === undefined || known.endpoint.node !== endpoint.node) {
      return new EndpointStatistics(endpoint, localityTier(this._options.location, endpoint), now)
    }
    known.endpoint = endpoint
    return known
  }

  private _balancer (resource: IPoolResource): IBalancer {
    const known = this._balancers.get(resource)
    if (known !== undefined) return known
    const { random } = this._options
    const balancer = resource.balancing === 'random' ? new RandomBalancer(random) : new TwoChoicesBalancer(random, resource)
    this._balancers.set(resource, balancer)
    return balancer
  }
}
