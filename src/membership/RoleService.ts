/** Assigns roles by rendezvous hashing over the member view. */
import { Disposable } from '../common/Disposable.js'
import { Emitter } from '../common/Emitter.js'
import { Rendezvous } from './Rendezvous.js'
import type { IClockService, IService } from '../common/Services.js'
import type { FailureDomain, IDisposable, IEvent, Milliseconds, NodeId } from '../common/Types.js'
import type { MembershipService } from './MembershipService.js'
import type { IRoleService } from './Services.js'
import type { INodeRecord, Role } from './Types.js'

const ROLES: readonly Role[] = Object.freeze(['source-reader', 'gateway', 'report-collector'])
/** Number of members that hold a role in a failure domain, or in a region for source readers. */
const HOLDERS_PER_ROLE = 2

/** Changes of the member view are collected for this time before the roles are evaluated again. */
const EVALUATION_DELAY_MS = 100 as Milliseconds

/** Dependencies of RoleService. */
export interface IRoleServiceOptions {
  readonly membership: MembershipService
  readonly clock: IClockService
}

/** Candidates are the alive members of reachable failure domains; an isolated node considers only itself. */
export class RoleService extends Disposable implements IRoleService, IService {
  private readonly _rankings = new Map(ROLES.map((role) => [role, new Rendezvous(role)]))
  private readonly _cache = new Map<string, readonly NodeId[]>()
  private readonly _onChanged = this.register(new Emitter<Role>())
  private readonly _lastFiredHolders = new Map<Role, string>()
  private _evaluationTimer: IDisposable | undefined

  constructor (private readonly _options: IRoleServiceOptions) {
    super()
    const { membership } = _options
    this.register(membership.onRecordChanged(() => this._invalidate()))
    this.register(membership.onReachabilityChanged(() => this._invalidate()))
    this.register({ dispose: () => this._evaluationTimer?.dispose() })
    for (const role of ROLES) this._lastFiredHolders.set(role, this._ownHolders(role).join())
  }

  public get onChanged (): IEvent<Role> {
    return this._onChanged.event
  }

  public stop (): void {
    this.dispose()
  }

  public holders (role: Role, failureDomain: FailureDomain): readonly NodeId[] {
    const key = `${role}/${failureDomain}`
    let holders = this._cache.get(key)
    if (holders === undefined) {
      holders = role === 'source-reader' ? this._sourceReaders(failureDomain) : this._topOfDomain(role, failureDomain, HOLDERS_PER_ROLE)
      this._cache.set(key, holders)
    }
    return holders
  }

  public isHeldBySelf (role: Role): boolean {
    return this._ownHolders(role).includes(this._options.membership.self.id)
  }

  private _ownHolders (role: Role): readonly NodeId[] {
    return this.holders(role, this._options.membership.self.failureDomain)
  }

  /** The highest-ranked member of the region, and the highest-ranked member in the other failure domains of the region, if any. */
  private _sourceReaders (failureDomain: FailureDomain): readonly NodeId[] {
    const candidates = this._domainsOfRegion(failureDomain).flatMap((domain) => this._candidates(domain))
    const first = this._topRanked('source-reader', candidates, 1)[0]
    if (first === undefined) return []
    const firstDomain = this._options.membership.members.get(first)?.failureDomain
    const elsewhere = candidates.filter((record) => record.failureDomain !== firstDomain)
    const second = this._topRanked('source-reader', elsewhere, 1)[0]
    return second === undefined ? this._topRanked('source-reader', candidates, HOLDERS_PER_ROLE) : [first, second]
  }

  private _topOfDomain (role: Role, failureDomain: FailureDomain, count: number): readonly NodeId[] {
    return this._topRanked(role, this._candidates(failureDomain), count)
  }

  private _topRanked (role: Role, candidates: readonly INodeRecord[], count: number): readonly NodeId[] {
    return (this._rankings.get(role) as Rendezvous).top(candidates.map((record) => record.id), count)
  }

  private _candidates (failureDomain: FailureDomain): readonly INodeRecord[] {
    const { membership } = this._options
    const alive = membership.aliveIn(failureDomain)
    const isOwn = failureDomain === membership.self.failureDomain
    if (isOwn && membership.isIsolated) return alive.filter((record) => record.id === membership.self.id)
    const isReachable = isOwn || (!membership.isIsolated && membership.reachability.isReachable(failureDomain))
    return isReachable ? alive : []
  }

  private _domainsOfRegion (failureDomain: FailureDomain): readonly FailureDomain[] {
    const domains = [...this._options.membership.reachability.domains]
    const region = domains.find((domain) => domain.failureDomain === failureDomain)?.region
    return domains.filter((domain) => domain.region === region).map((domain) => domain.failureDomain)
  }

  private _invalidate (): void {
    this._cache.clear()
    this._evaluationTimer ??= this._options.clock.after(EVALUATION_DELAY_MS, () => this._evaluate())
  }

  private _evaluate (): void {
    this._evaluationTimer = undefined
    for (const role of ROLES) {
      const holders = this._ownHolders(role).join()
      if (holders === this._lastFiredHolders.get(role)) continue
      this._lastFiredHolders.set(role, holders)
      this._onChanged.fire(role)
    }
  }
}
