/** Selects the members to which a node should have links. */
import { Disposable } from '../common/Disposable.js'
import { Rendezvous } from './Rendezvous.js'
import type { IRandomService } from '../common/Services.js'
import type { FailureDomain, NodeId } from '../common/Types.js'
import type { MembershipService } from './MembershipService.js'
import type { IOverlaySettings } from './Options.js'
import type { RoleService } from './RoleService.js'

/** Number of gateways that are assumed for an unreachable failure domain. */
const GATEWAYS_PER_DOMAIN = 2

/** Dependencies and settings of OverlayTargets. */
export interface IOverlayTargetsOptions {
  readonly membership: MembershipService
  readonly roles: RoleService
  readonly random: IRandomService
  readonly settings: IOverlaySettings
}

/**
 * Inside the failure domain a node has links to its successors on a ring ordered by id, so that each member is monitored
 * by another one, and to some members selected by hash, so that paths are short. Both depend on the member view only.
 */
export class OverlayTargets extends Disposable {
  private readonly _spreadRanking: Rendezvous
  private readonly _gatewayRanking = new Rendezvous('gateway')
  private _localTargets: readonly NodeId[] | undefined

  constructor (private readonly _options: IOverlayTargetsOptions) {
    super()
    const { membership } = _options
    this._spreadRanking = new Rendezvous(membership.self.id)
    this.register(membership.onRecordChanged((record) => {
      if (record.failureDomain === membership.self.failureDomain) this._localTargets = undefined
    }))
  }

  /** Members of the own failure domain to which this node should have links. */
  public localTargets (): readonly NodeId[] {
    this._localTargets ??= this._chooseLocalTargets()
    return this._localTargets
  }

  /** Gateways of another failure domain in the order in which this node dials them; empty if this node is no gateway itself. */
  public gateways (failureDomain: FailureDomain): readonly NodeId[] {
    const { membership, roles } = this._options
    const rank = roles.holders('gateway', membership.self.failureDomain).indexOf(membership.self.id)
    if (rank < 0) return []
    const gateways = this._gatewaysOf(failureDomain)
    return [...gateways.slice(rank), ...gateways.slice(0, rank)]
  }

  /** Random alive member of another failure domain; dialled while a backoff prevents dials to all its gateways. */
  public randomMember (failureDomain: FailureDomain): NodeId | undefined {
    const { membership, random } = this._options
    const alive = membership.aliveIn(failureDomain)
    return alive[random.integer(Math.max(1, alive.length))]?.id
  }

  /** All failure domains except the own one. */
  public foreignDomains (): readonly FailureDomain[] {
    const { membership } = this._options
    const all = [...membership.reachability.domains].map((domain) => domain.failureDomain)
    return all.filter((failureDomain) => failureDomain !== membership.self.failureDomain)
  }

  private _chooseLocalTargets (): readonly NodeId[] {
    const { membership, settings } = this._options
    const self = membership.self.id
    const others = membership.aliveIn(membership.self.failureDomain).map((record) => record.id).filter((id) => id !== self)
    const ring = [...others].sort()
    const start = ring.findIndex((id) => id > self)
    const ordered = start < 0 ? ring : [...ring.slice(start), ...ring.slice(0, start)]
    const successors = ordered.slice(0, settings.ringLinks)
    const rest = others.filter((id) => !successors.includes(id))
    return [...successors, ...this._spreadRanking.top(rest, settings.spreadLinks)]
  }

  /** Gateways of a failure domain; while it is unreachable, they are computed from its alive members. */
  private _gatewaysOf (failureDomain: FailureDomain): readonly NodeId[] {
    const { membership, roles } = this._options
    const holders = roles.holders('gateway', failureDomain)
    if (holders.length > 0) return holders
    return this._gatewayRanking.top(membership.aliveIn(failureDomain).map((record) => record.id), GATEWAYS_PER_DOMAIN)
  }
}
