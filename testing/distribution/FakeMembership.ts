/** Stand-ins for the membership and role services; the test sets the members and the holders of roles. */
import { Emitter } from '../../src/common/Emitter.js'
import type { FailureDomain, NetworkAddress, NodeId, Region } from '../../src/common/Types.js'
import type { IMembershipService, IRoleService } from '../../src/membership/Services.js'
import type { IDomainView, INodeRecord, Role } from '../../src/membership/Types.js'

/** A record of a node that is alive. */
export function createNodeRecord (id: string, failureDomain = 'one', region = 'east'): INodeRecord {
  return {
    id: id as NodeId,
    failureDomain: failureDomain as FailureDomain,
    region: region as Region,
    peerAddress: '127.0.0.1:1' as NetworkAddress,
    gateAddress: '127.0.0.1:2' as NetworkAddress,
    incarnation: 1,
    sequence: 1,
    state: 'alive',
    endpoints: [],
    software: 'test'
  }
}

/** Members shared by all nodes of a test; each node reads them through `membershipOf` and `rolesOf`. */
export class FakeMembers {
  public readonly members = new Map<NodeId, INodeRecord>()
  /** Holders by role in the order of their rank; a node sees the holders of its own failure domain, or all holders of `source-reader`. */
  public readonly holders = new Map<Role, NodeId[]>()
  private readonly _onRecordChanged = new Emitter<INodeRecord>()

  public add (record: INodeRecord): INodeRecord {
    this.members.set(record.id, record)
    this._onRecordChanged.fire(record)
    return record
  }

  /** Membership as seen by one node. */
  public membershipOf (self: INodeRecord): IMembershipService {
    const never = new Emitter<never>()
    return {
      self,
      members: this.members,
      aliveOrSuspectIn: (domain) => new Map([...this.members].filter(([, { failureDomain, state }]) => {
        return failureDomain === domain && (state === 'alive' || state === 'suspect')
      })),
      endpoints: () => [],
      domains: () => this._domains(),
      onEndpointsChanged: never.event,
      onRecordChanged: this._onRecordChanged.event,
      announceEndpoint: () => {},
      setEndpointState: () => {},
      leave: async () => {}
    }
  }

  public rolesOf (self: INodeRecord): IRoleService {
    const onChanged = new Emitter<Role>()
    const holders = (role: Role, domain: FailureDomain): readonly NodeId[] => (this.holders.get(role) ?? []).filter((id) => {
      const member = this.members.get(id)
      return role === 'source-reader' || member?.failureDomain === domain
    })
    return { holders, isHeldBySelf: (role) => holders(role, self.failureDomain).includes(self.id), onChanged: onChanged.event }
  }

  private _domains (): readonly IDomainView[] {
    const domains = new Map<FailureDomain, IDomainView>()
    for (const { failureDomain, region } of this.members.values()) {
      const aliveMembers = (domains.get(failureDomain)?.aliveMembers ?? 0) + 1
      domains.set(failureDomain, { failureDomain, region, isReachable: true, lastContactAt: 0 as never, aliveMembers })
    }
    return [...domains.values()]
  }
}
