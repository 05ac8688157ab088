/** Decides how long this node waits before it pulls a body over a link, so that few bodies cross between domains and regions. */
import type { FailureDomain, Milliseconds, Timestamp } from '../common/Types.js'
import type { IMembershipService, IPeerLink, IRoleService } from '../membership/Services.js'

/** Options of `PullDelay`. */
export interface IPullDelayOptions {
  readonly membership: IMembershipService
  readonly roles: IRoleService
  /** Time that each gateway leaves to the one ranked before it. */
  readonly step: Milliseconds
  /** Ranks after which the delay grows no further. */
  readonly maximumRank: number
}

/** Defaults of `PullDelay`. */
export const DEFAULT_PULL_DELAY_OPTIONS = Object.freeze({ step: 500 as Milliseconds, maximumRank: 4 })

/**
 * Ranks the gateways of a region: those of its first failure domain first. Only the first one pulls
 * across regions at once; the others pull if it has not brought the body into the region in time.
 * A wrong rank costs a second body or a delay, nothing else.
 */
export class PullDelay {
  private readonly _options: IPullDelayOptions

  constructor (options: Pick<IPullDelayOptions, 'membership' | 'roles'> & Partial<IPullDelayOptions>) {
    this._options = { ...DEFAULT_PULL_DELAY_OPTIONS, ...options }
  }

  /** Time to wait before a pull over `link`. */
  public of (link: IPeerLink, now: Timestamp): Milliseconds {
    if (link.isLocal) return 0 as Milliseconds
    const { self } = this._options.membership
    const isSameRegion = link.peer.region === self.region
    const domains = isSameRegion ? [self.failureDomain] : this._domainsOfRegion(now)
    return this._rank(domains) * this._options.step as Milliseconds
  }

  /** Reachable failure domains of this node's region in the order of their names. */
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
