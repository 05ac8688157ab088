/** Which members a node should be linked to. */
import { Disposable } from '../common/Disposable.js'
import { Rendezvous } from './Rendezvous.js'
import type { IRandomService } from '../common/Services.js'
import type { FailureDomain, NodeId } from '../common/Types.js'
import type { MembershipService } from './MembershipService.js'
import type { IOverlaySettings } from './Options.js'
import type { RoleService } from './RoleService.js'

/** Gateways that a failure domain is thought to have while it is unreachable. */
const GATEWAYS = 2

/** What the choice depends on. */
export interface IOverlayTargetsOptions {
  readonly membership: MembershipService
  readonly roles: RoleService
  readonly random: IRandomService
  readonly settings: IOverlaySettings
}

/**
 * Inside the failure domain: the next members on a ring ordered by id, so that each member has one that watches it,
 * and some spread by hash, so that paths are short. Both depend on the member view only.
 */
export class OverlayTargets extends Disposable {
  private readonly _spread: Rendezvous
  private readonly _gatewayRank = new Rendezvous('gateway')
  private _local: readonly NodeId[] | undefined

  constructor (private readonly _options: IOverlayTargetsOptions) {
    super()
    const { membership } = _options
    this._spread = new Rendezvous(membership.self.id)
    this.register(membership.onRecordChanged((record) => {
      if (record.failureDomain === membership.self.failureDomain) this._local = undefined
    }))
  }

  /** Members of the failure domain to be linked to. */
  public local (): readonly NodeId[] {
    this._local ??= this._chooseLocal()
    return this._local
  }

  /** The gateways of another failure domain in the order in which this node tries them; none if it is no gateway itself. */
  public gateways (failureDomain: FailureDomain): readonly NodeId[] {
    const { membership, roles } = this._options
    const rank = roles.holders('gateway', membership.self.failureDomain).indexOf(membership.self.id)
    if (rank < 0) return []
    const gateways = this._gatewaysOf(failureDomain)
    return [...gateways.slice(rank), ...gateways.slice(0, rank)]
  }

  /** Any member of another failure domain, for when its gateways do not answer. */
  public anyMember (failureDomain: FailureDomain): NodeId | undefined {
    const { membership, random } = this._options
    const alive = membership.aliveIn(failureDomain)
    return alive[random.integer(Math.max(1, alive.length))]?.id
  }

  /** Failure domains other than the own one. */
  public foreignDomains (): readonly FailureDomain[] {
    const { membership } = this._options
    const all = [...membership.reachability.domains].map((domain) => domain.failureDomain)
    return all.filter((failureDomain) => failureDomain !== membership.self.failureDomain)
  }

  private _chooseLocal (): readonly NodeId[] {
    const { membership, settings } = this._options
    const self = membership.self.id
    const others = membership.aliveIn(membership.self.failureDomain).map((record) => record.id).filter((id) => id !== self)
    const ring = [...others].sort()
    const start = ring.findIndex((id) => id > self)
    const ordered = start < 0 ? ring : [...ring.slice(start), ...ring.slice(0, start)]
    const successors = ordered.slice(0, settings.ringLinks)
    const rest = others.filter((id) => !successors.includes(id))
    return [...successors, ...this._spread.top(rest, settings.spreadLinks)]
  }

  /** The gateways of a failure domain, also while it is unreachable. */
  private _gatewaysOf (failureDomain: FailureDomain): readonly NodeId[] {
    const { membership, roles } = this._options
    const holders = roles.holders('gateway', failureDomain)
    if (holders.length > 0) return holders
    return this._gatewayRank.top(membership.aliveIn(failureDomain).map((record) => record.id), GATEWAYS)
  }
}
