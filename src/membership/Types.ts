/** Types of members, endpoints and failure domains. */
import type { EndpointId, FailureDomain, ILocation, NetworkAddress, NodeId, Region, ServiceName, Timestamp } from '../common/Types.js'

/** Lifecycle state of a node in the member view. */
export type MemberState = 'alive' | 'suspect' | 'dead' | 'left'

/** Lifecycle state of an endpoint, as announced by the node at its gate. */
export type EndpointState = 'warming' | 'serving' | 'draining' | 'left'

/** One endpoint of a node. */
export interface IEndpoint {
  readonly id: EndpointId
  readonly service: ServiceName
  readonly state: EndpointState
  /** Maximum number of requests that the endpoint runs concurrently. */
  readonly slots: number
  /** When the endpoint entered its current state, by the clock of its node. */
  readonly since: Timestamp
}

/**
 * Record of one node. Of two records of the same node the one with the higher incarnation takes precedence,
 * then the one with the more severe state (`left` over `dead` over `suspect` over `alive`), then the one with the higher sequence.
 */
export interface INodeRecord extends ILocation {
  readonly id: NodeId
  /** Address of the gRPC server for peers. */
  readonly peerAddress: NetworkAddress
  /** Address of the gate, for HTTP requests from other nodes. */
  readonly gateAddress: NetworkAddress
  /** Incremented by the node itself to refute a suspicion or a death. */
  readonly incarnation: number
  /** Incremented by the node itself when its endpoints or its state change. */
  readonly sequence: number
  readonly state: MemberState
  readonly endpoints: readonly IEndpoint[]
  /** Software version; the nodes of a mesh may run different versions. */
  readonly software: string
}

/** An endpoint that may receive requests, with the node at its gate. */
export interface IRoutableEndpoint extends IEndpoint, ILocation {
  readonly node: NodeId
  readonly gateAddress: NetworkAddress
  /** False while the node is suspect or its failure domain is unreachable. */
  readonly isReachable: boolean
}

/** Roles that are assigned to the highest-ranked members. */
export type Role = 'source-reader' | 'gateway' | 'report-collector'

/** Reachability of a failure domain, as this node sees it. */
export interface IDomainView extends ILocation {
  readonly isReachable: boolean
  readonly lastContactAt: Timestamp
  readonly aliveMembers: number
}

export type { FailureDomain, Region }
