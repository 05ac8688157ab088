/** Interfaces of the gate. */
import { createServiceKey } from '../common/Services.js'
import type { EndpointId, NetworkAddress, RequestId, ServiceName, Timestamp } from '../common/Types.js'
import type { ICallTarget, SettleAnswer } from './Types.js'

/** One upstream on this VM, from the settings. */
export interface IUpstreamSettings {
  readonly service: ServiceName
  readonly endpoint: EndpointId
  readonly address: NetworkAddress
}

/** Occupancy of one service's endpoints on this node. */
export interface IOccupancy {
  readonly used: number
  readonly queued: number
  readonly slots: number
}

/** The only way to the upstreams on this VM. */
export interface IGateService extends ICallTarget {
  /** Undefined if no upstream of the service is on this VM. */
  occupancy (service: ServiceName): IOccupancy | undefined
  /** True if a call would get a slot at once at an endpoint that serves. */
  hasFreeSlot (service: ServiceName): boolean
  /** After `never-will-be` the request is refused, should it still arrive. */
  settle (requestId: RequestId, now: Timestamp): SettleAnswer
  /** Stops new work, waits for requests in flight; resolves when none is left. */
  drain (now: Timestamp): Promise<void>
}

/** Decides at-most-once requests by claims in the table service. Used by the gate. */
export interface IClaimService {
  /** Number of claims not decided yet. */
  readonly pending: number
}

export const IGateService = createServiceKey<IGateService>('gate')
export const IClaimService = createServiceKey<IClaimService>('gate.claims')
