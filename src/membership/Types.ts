/** Shapes of members, endpoints and messages between nodes. */
import type { EndpointId, FailureDomain, ILocation, NetworkAddress, NodeId, Region, ServiceName, Timestamp } from '../common/Types.js'

/** Life of a node as others see it. */
export type MemberState = 'alive' | 'suspect' | 'dead' | 'left'

/** Life of an endpoint, as announced by the node at its gate. */
export type EndpointState = 'warming' | 'serving' | 'draining' | 'left'

/** One endpoint of a node. */
export interface IEndpoint {
  readonly id: EndpointId
  readonly service: ServiceName
  readonly state: EndpointState
  /** Requests that the endpoint runs at the same time. */
  readonly slots: number
  /** When the present state began, by the clock of the endpoint's node. */
  readonly since: Timestamp
}

/**
 * What is known of one node. Of two records of one node the one with the higher incarnation wins,
 * then the one with the worse state (`dead` and `left` over `suspect` over `alive`), then the one with the higher sequence.
 */
export interface INodeRecord extends ILocation {
  readonly id: NodeId
  /** Peer RPC. */
  readonly peerAddress: NetworkAddress
  /** HTTP calls from other nodes. */
  readonly gateAddress: NetworkAddress
  /** Raised by the node itself to refute a suspicion. */
  readonly incarnation: number
  /** Raised by the node itself with every change of its endpoints. */
  readonly sequence: number
  readonly state: MemberState
  readonly endpoints: readonly IEndpoint[]
  /** Software version, for mixed fleets. */
  readonly software: string
}

/** An endpoint that may get calls, with the node at its gate. */
export interface IRoutableEndpoint extends IEndpoint, ILocation {
  readonly node: NodeId
  readonly gateAddress: NetworkAddress
  /** False while the node is suspect or its failure domain is unreachable. */
  readonly isReachable: boolean
}

/** Roles that fall to the highest-ranked members. */
export type Role = 'source-reader' | 'gateway' | 'report-collector'

/** Whether a failure domain can be heard. */
export interface IDomainView extends ILocation {
  readonly isReachable: boolean
  readonly lastHeardAt: Timestamp
  readonly aliveMembers: number
}

export type { FailureDomain, Region }
