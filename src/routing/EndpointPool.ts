/** The endpoints of one service as this process sees and uses them. */
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

/** What a pool of endpoints needs. */
export interface IEndpointPoolOptions {
  /** Where this process runs. */
  readonly location: ILocation
  readonly random: IRandomService
  readonly detector: OutlierDetector
}

/** How many calls go by between two that serve comparison. */
export const DEFAULT_COMPARISON_OPTIONS = Object.freeze({ comparisonInterval: 500, urgentComparisonInterval: 10 })

/** Keeps the statistics of endpoints across changes of the member view. */
export class EndpointPool {
  private readonly _tiers = new LocalityTiers()
  private readonly _balancers = new WeakMap<IPoolResource, IBalancer>()
  private _source: readonly IRoutableEndpoint[] | undefined
  private _all: readonly EndpointStatistics[] = []
  private _sinceComparison = 0

  constructor (private readonly _options: IEndpointPoolOptions) {}

  /** All endpoints, also those that get no calls now. */
  public get all (): readonly EndpointStatistics[] {
    return this._all
  }

  /** Takes the endpoints of the member view; does nothing if the array is the same as before. */
  public update (endpoints: readonly IRoutableEndpoint[], now: Timestamp): void {
    if (endpoints === this._source) return
    this._source = endpoints
    const known = new Map<EndpointId, EndpointStatistics>()
    for (const statistics of this._all) known.set(statistics.endpoint.id, statistics)
    this._all = endpoints.map((endpoint) => this._adopt(known.get(endpoint.id), endpoint, now))
  }

  /** The nearest endpoints with room, without those in `excluded`; empty if there is none. */
  public preferred (resource: IPoolResource, excluded: readonly EndpointStatistics[], now: Timestamp): readonly EndpointStatistics[] {
    const open = this._open(excluded, now)
    if (open.length === 0) return open
    return this._tiers.select(this._options.detector.eligible(open, now), resource.spillAt, now)
  }

  /**
   * Now and then another endpoint of the region, if the preferred one has no peer to be compared with: often while it is
   * slower than usual, else rarely. Never one of another region, as that traffic is paid for.
   */
  public comparison (preferred: readonly EndpointStatistics[], now: Timestamp): EndpointStatistics | undefined {
    const [only] = preferred
    if (only === undefined || preferred.length > 1 || this._all.length === 1) return undefined
    this._sinceComparison++
    const { comparisonInterval, urgentComparisonInterval } = DEFAULT_COMPARISON_OPTIONS
    if (this._sinceComparison < (only.isSlowerThanUsual() ? urgentComparisonInterval : comparisonInterval)) return undefined
    this._sinceComparison = 0
    const others = this._open([only], now).filter((candidate) => candidate.tier <= 1 && !candidate.isEjected(now))
    return others.length === 0 ? undefined : others[this._options.random.integer(others.length)]
  }

  /** Chooses one of the preferred endpoints by the pool's policy. */
  public choose (resource: IPoolResource, preferred: readonly EndpointStatistics[], now: Timestamp): EndpointStatistics {
    return this._balancer(resource).choose(preferred, now)
  }

  /** Endpoints on reachable nodes that did not refuse lately; if there is none, also the others: a gate refuses for itself. */
  private _open (excluded: readonly EndpointStatistics[], now: Timestamp): readonly EndpointStatistics[] {
    const untried = excluded.length === 0 ? this._all : this._all.filter((candidate) => !excluded.includes(candidate))
    const open = untried.filter((candidate) => candidate.endpoint.isReachable && candidate.isOpen(now))
    return open.length > 0 ? open : untried
  }

  private _adopt (known: EndpointStatistics | undefined, endpoint: IRoutableEndpoint, now: Timestamp): EndpointStatistics {
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
