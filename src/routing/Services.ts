/** Service interfaces of the router and of the burn report, and the request type that both callers and programs create. */
import { createServiceKey } from '../common/Services.js'
import type { FailureDomain, Milliseconds, ServiceName, Timestamp } from '../common/Types.js'
import type { CallOutcome, IAnswerSink } from '../gate/Types.js'
import type { IncomingHttpHeaders } from 'node:http'
import type { Readable } from 'node:stream'
import type { IEvent } from '../common/Types.js'

/** A request as received from a caller. */
export interface IInboundRequest {
  readonly service: ServiceName
  readonly method: string
  readonly path: string
  readonly headers: IncomingHttpHeaders
  readonly body: Readable | undefined
  readonly bodyBytes: number | undefined
  readonly onCancelled: IEvent<void>
  readonly isCancelled: boolean
}

/** Routes, balances and retries requests; each request uses a single snapshot. The embedded library calls it, too. */
export interface IRouterService {
  /**
   * Never rejects. If the outcome is not `answered` and no response was started in the sink, the caller of this method
   * writes the refusal.
   */
  route (request: IInboundRequest, sink: IAnswerSink, now: Timestamp): Promise<CallOutcome>
}

/** Good and bad calls of one service in one window in one failure domain. */
export interface IBurnWindow {
  readonly window: Milliseconds
  readonly good: number
  readonly bad: number
  /** A rate of 1 uses up the error budget of the objective exactly at the end of its period. */
  readonly burnRate: number
}

/** Error budget burn of one service's objective. */
export interface IBurnReport {
  readonly service: ServiceName
  readonly failureDomain: FailureDomain
  readonly objective: number
  readonly windows: readonly IBurnWindow[]
}

/** Counts good and bad calls that entered the mesh at this node. */
export interface IBurnService {
  record (service: ServiceName, isGood: boolean, now: Timestamp): void
  /** Returns the burn of calls counted at this node. */
  local (now: Timestamp): readonly IBurnReport[]
  /** Returns the burn of all failure domains, from the counts of the collectors. */
  read (now: Timestamp): Promise<readonly IBurnReport[]>
}

export const IRouterService = createServiceKey<IRouterService>('routing.router')
export const IBurnService = createServiceKey<IBurnService>('routing.burn')
