/** Interfaces of the transport, the overlay, the member view, the roles and the broadcast service. */
import { createServiceKey } from '../common/Services.js'
import type {
  EndpointId, FailureDomain, IDisposable, IEvent, NetworkAddress, NodeId, ServiceName, Timestamp
} from '../common/Types.js'
import type { ReceivedPeerMessage, PeerMessage } from '../generated/savoryknot/PeerMessage.js'
import type { EndpointState, IDomainView, IEndpoint, INodeRecord, IRoutableEndpoint, Role } from './Types.js'

/** One bidirectional stream of messages to another process. */
export interface IPeerChannel extends IDisposable {
  /** Address of the peer, for logs and errors. */
  readonly remoteAddress: NetworkAddress
  /** Queued bytes that have not been written to the socket yet. */
  readonly waitingBytes: number
  /** Queues a message. Returns false if the channel is closed or its send buffer is full; the message is then dropped. */
  send (message: PeerMessage): boolean
  readonly onMessage: IEvent<ReceivedPeerMessage>
  /** Fires once, when the channel is closed. */
  readonly onClosed: IEvent<void>
}

/** Opens and accepts channels. Benchmarks and tests wrap it to inject latency and network partitions. */
export interface IPeerTransport {
  /** Listens on the peer address of this node and passes each incoming channel to `accept`. */
  listen (accept: (channel: IPeerChannel) => void): Promise<void>
  /** Opens a channel; rejects with `PeerUnreachableError`. */
  dial (address: NetworkAddress): Promise<IPeerChannel>
  close (): Promise<void>
}

/** A channel over which the peer has identified itself with a hello. */
export interface IPeerLink {
  readonly peer: INodeRecord
  /** True if the peer is in this node's failure domain. */
  readonly isLocal: boolean
  send (message: PeerMessage): boolean
  readonly onMessage: IEvent<ReceivedPeerMessage>
  readonly onClosed: IEvent<void>
}

/** Maintains the bounded-degree overlay inside the failure domain and, on gateways, the links to other failure domains. */
export interface IOverlayService {
  readonly links: readonly IPeerLink[]
  readonly onLinkOpened: IEvent<IPeerLink>
}

/** The member view of this node. */
export interface IMembershipService {
  readonly self: INodeRecord
  /** All records, including those of dead and left nodes until their retention expires. */
  readonly members: ReadonlyMap<NodeId, INodeRecord>
  /** Members of a failure domain that are alive or suspect. Takes constant time. */
  aliveOrSuspectIn (failureDomain: FailureDomain): ReadonlyMap<NodeId, INodeRecord>
  /** Serving endpoints of a service on nodes that are alive or suspect. The array is immutable; a new one replaces it after a change. */
  endpoints (service: ServiceName): readonly IRoutableEndpoint[]
  domains (now: Timestamp): readonly IDomainView[]
  /** Fires after records changed, with the services whose endpoints changed. */
  readonly onEndpointsChanged: IEvent<ReadonlySet<ServiceName>>
  /** Fires with every record that replaced an older one. */
  readonly onRecordChanged: IEvent<INodeRecord>
  /** Announces an endpoint of this node, or replaces the announcement of the endpoint with the same id. */
  announceEndpoint (endpoint: IEndpoint, now: Timestamp): void
  setEndpointState (id: EndpointId, state: EndpointState, now: Timestamp): void
  /** Announces that this node and its endpoints have left the mesh, and waits for a grace period in which the announcement is sent. */
  leave (now: Timestamp): Promise<void>
}

/** Roles by rendezvous hashing over the member view. Two nodes may hold one role at once; this only causes additional work. */
export interface IRoleService {
  /** Holders of a role, the highest-ranked first. Source readers are ranked in a region, the other roles in a failure domain. */
  holders (role: Role, failureDomain: FailureDomain): readonly NodeId[]
  isHeldBySelf (role: Role): boolean
  readonly onChanged: IEvent<Role>
}

/** Small messages to every node in every failure domain, delivered at least once. */
export interface IBroadcastService {
  publish (topic: string, payload: Uint8Array): void
  readonly onMessage: IEvent<IBroadcastMessage>
}

/** One message of the broadcast service. */
export interface IBroadcastMessage {
  readonly topic: string
  readonly origin: NodeId
  readonly payload: Uint8Array
}

export const IPeerTransport = createServiceKey<IPeerTransport>('membership.transport')
export const IOverlayService = createServiceKey<IOverlayService>('membership.overlay')
export const IMembershipService = createServiceKey<IMembershipService>('membership.members')
export const IRoleService = createServiceKey<IRoleService>('membership.roles')
export const IBroadcastService = createServiceKey<IBroadcastService>('membership.broadcast')
