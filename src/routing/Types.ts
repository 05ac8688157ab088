/** Types shared by the modules of the router. */
import type { IDisposable, IEvent, NetworkAddress, NodeId, RequestId, Timestamp } from '../common/Types.js'
import type { ICallTarget, SettleResult } from '../gate/Types.js'
import type { IRoutableEndpoint } from '../membership/Types.js'
import type { EndpointStatistics } from './EndpointStatistics.js'

/** Network distance of an endpoint: 0 same failure domain, 1 same region, 2 other region. */
export type LocalityTier = 0 | 1 | 2

/** Number of locality tiers. */
export const LOCALITY_TIERS = 3

/** Chooses one of several endpoints. */
export interface IBalancer {
  /** `candidates` must contain at least one endpoint. */
  choose (candidates: readonly EndpointStatistics[], now: Timestamp): EndpointStatistics
}

/** Properties of a pool that a balancer uses. */
export interface ISlowStartRule {
  /** Time after its start during which an endpoint gets a reduced share of calls, in milliseconds. */
  readonly slowStart: number
}

/** Connections to the gates of other nodes. */
export interface IRemoteGates extends IDisposable {
  /** Returns the gate that serves the endpoint. */
  target (endpoint: IRoutableEndpoint): ICallTarget
  /** Opens a connection before the first call. */
  warm (endpoint: IRoutableEndpoint): void
  /** Closes connections to gates whose address is not in `addresses`. */
  retain (addresses: ReadonlySet<NetworkAddress>): void
  /** Waits for the exchanges in flight, then closes all connections. */
  close (): Promise<void>
}

/** Sends settle queries: whether a request has started at the gate of another node. */
export interface ISettleClient extends IDisposable {
  /** Returns undefined if the node does not reply before `deadlineAt` or is unknown. Never rejects. */
  settle (node: NodeId, requestId: RequestId, deadlineAt: Timestamp, now: Timestamp): Promise<SettleResult | undefined>
}

/** Certificates and private key that this node uses on connections to other nodes. */
export interface INodeKeys {
  /** PEM; must be read again after each `onReloaded`. */
  readonly material: { readonly certificate: Buffer, readonly key: Buffer, readonly authority: Buffer }
  readonly onReloaded: IEvent<unknown>
}
