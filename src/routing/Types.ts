/** Shapes shared by the parts of the router. */
import type { IDisposable, IEvent, NetworkAddress, NodeId, RequestId, Timestamp } from '../common/Types.js'
import type { ICallTarget, SettleResult } from '../gate/Types.js'
import type { IRoutableEndpoint } from '../membership/Types.js'
import type { EndpointStatistics } from './EndpointStatistics.js'

/** Nearness of an endpoint: 0 same failure domain, 1 same region, 2 elsewhere. */
export type LocalityTier = 0 | 1 | 2

/** Number of locality tiers. */
export const LOCALITY_TIERS = 3

/** Chooses one of several endpoints. */
export interface IBalancer {
  /** `candidates` holds at least one endpoint. */
  choose (candidates: readonly EndpointStatistics[], now: Timestamp): EndpointStatistics
}

/** What a balancer needs to know of the pool. */
export interface ISlowStartRule {
  /** Length of the ramp of an endpoint that has just started to serve, in milliseconds. */
  readonly slowStart: number
}

/** Gates of other nodes. */
export interface IRemoteGates extends IDisposable {
  /** The gate at which the endpoint is served. */
  target (endpoint: IRoutableEndpoint): ICallTarget
  /** Opens a connection ahead of the first call. */
  warm (endpoint: IRoutableEndpoint): void
  /** Closes connections to gates that are in none of the given sets. */
  retain (addresses: ReadonlySet<NetworkAddress>): void
  /** Finishes the exchanges in flight, then closes all connections. */
  close (): Promise<void>
}

/** Asks the node at whose gate a request was to run what became of it. */
export interface ISettleClient extends IDisposable {
  /** Undefined if that can't be learned before `deadlineAt`. Never rejects. */
  settle (node: NodeId, requestId: RequestId, deadlineAt: Timestamp, now: Timestamp): Promise<SettleResult | undefined>
}

/** Keys of this node towards other nodes. */
export interface INodeKeys {
  /** In PEM; read again after each `onReloaded`. */
  readonly material: { readonly certificate: Buffer, readonly key: Buffer, readonly authority: Buffer }
  readonly onReloaded: IEvent<unknown>
}
