/** Service interfaces of the gate. */
import { createServiceKey } from '../common/Services.js'
import type { EndpointId, NetworkAddress, RequestId, ServiceName, Timestamp } from '../common/Types.js'
import type { ICallTarget, SettleResult } from './Types.js'

/** An upstream on this VM, as configured in the settings. */
export interface IUpstreamSettings {
  readonly service: ServiceName
  readonly endpoint: EndpointId
  readonly address: NetworkAddress
}

/** Occupancy of the endpoints of one service on this node. */
export interface IOccupancy {
  readonly used: number
  readonly queued: number
  readonly slots: number
}

/** Runs calls to the upstreams on this VM. No call reaches them without passing through the gate. */
export interface IGateService extends ICallTarget {
  /** Undefined if the service has no upstream on this VM. */
  occupancy (service: ServiceName): IOccupancy | undefined
  /** True if a serving endpoint has a free slot and no queue. */
  hasFreeSlot (service: ServiceName): boolean
  /**
   * Returns whether a request was started. If it was not, the result is `never-will-be`, and the request is refused should it still
   * arrive.
   */
  settle (requestId: RequestId, now: Timestamp): SettleResult
  /** Stops accepting requests; resolves when no request is in flight. */
  drain (now: Timestamp): Promise<void>
}

/** Executes at-most-once requests with claims in the table service. Used by the gate. */
export interface IClaimService {
  /** Number of claims that are not yet settled. */
  readonly pending: number
}

export const IGateService = createServiceKey<IGateService>('gate')
export const IClaimService = createServiceKey<IClaimService>('gate.claims')
