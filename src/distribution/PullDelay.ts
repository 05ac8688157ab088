/** Determines the delay before a pull over a link, so that few copies of a body are sent between failure domains and regions. */
import type { FailureDomain, Milliseconds, Timestamp } from '../common/Types.js'
import type { IMembershipService, IPeerLink, IRoleService } from '../membership/Services.js'

/** Dependencies and settings of `PullDelay`. */
export interface IPullDelayOptions {
  readonly membership: IMembershipService
  readonly roles: IRoleService
  /** Difference between the delays of two gateways with consecutive ranks. */
  readonly delayPerRank: Milliseconds
  /** Rank from which the delay is constant; also the rank of a node that is not a gateway. */
  readonly maximumRank: number
}

/** Defaults of `PullDelay`. */
export const DEFAULT_PULL_DELAY_OPTIONS = Object.freeze({ delayPerRank: 500 as Milliseconds, maximumRank: 4 })

/**
 * Ranks the gateways of a region, beginning with the gateways of its first failure domain. Only the first gateway pulls from another
 * region without delay; the other gateways pull only if the body has not arrived from within the region by then. Within a region, the
 * gateways of one failure domain are ranked in the same way. A wrong rank costs a second transfer or a delay, nothing else.
 */
export class PullDelay {
  private readonly _options: IPullDelayOptions

  constructor (options: Pick<IPullDelayOptions, 'membership' | 'roles'> & Partial<IPullDelayOptions>) {
    this._options = { ...DEFAULT_PULL_DELAY_OPTIONS, ...options }
  }

  /** Delay before a pull over `link`. */
  public delayFor (link: IPeerLink, now: Timestamp): Milliseconds {
    if (link.isLocal) return 0 as Milliseconds
    const { self } = this._options.membership
    const isSameRegion = link.peer.region === self.region
    const domains = isSameRegion ? [self.failureDomain] : this._domainsOfRegion(now)
    return this._rank(domains) * this._options.delayPerRank as Milliseconds
  }

  /** Reachable failure domains of this node's region, sorted by name. */
  private _domainsOfRegion (now: Timestamp): readonly FailureDomain[] {
    const { self } = this._options.membership
    const domains = new Set([self.failureDomain])
    for (const domain of this._options.membership.domains(now)) {
      if (domain.region === self.region && domain.isReachable) domains.add(domain.failureDomain)
    }
    return [...domains].sort()
  }

  private _rank (domains: readonly FailureDomain[]): number {
    const gateways = domains.flatMap((domain) => this._options.roles.holders('gateway', domain))
    const rank = gateways.indexOf(this._options.membership.self.id)
    if (rank < 0) return this._options.maximumRank
    return Math.min(rank, this._options.maximumRank)
  }
}
