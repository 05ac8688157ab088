/** Interfaces of the router, of the caller's HTTP front and of the counts behind the burn report. */
import { createServiceKey } from '../common/Services.js'
import type { FailureDomain, Milliseconds, ServiceName, Timestamp } from '../common/Types.js'
import type { CallOutcome, IAnswerSink } from '../gate/Types.js'
import type { IncomingHttpHeaders } from 'node:http'
import type { Readable } from 'node:stream'
import type { IEvent } from '../common/Types.js'

/** A request as it came from a caller. */
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

/** Routes requests by one snapshot each, balances, retries. Also the embedded library's way to call. */
export interface IRouterService {
  /** Never rejects. If the outcome is not `answered` and the sink has not begun, the caller of this method writes the refusal. */
  route (request: IInboundRequest, sink: IAnswerSink, now: Timestamp): Promise<CallOutcome>
}

/** Good and bad answers of one service in one window at one failure domain. */
export interface IBurnWindow {
  readonly window: Milliseconds
  readonly good: number
  readonly bad: number
  /** 1 means that the objective's budget lasts exactly its period. */
  readonly burnRate: number
}

/** Burn of one service's objective. */
export interface IBurnReport {
  readonly service: ServiceName
  readonly failureDomain: FailureDomain
  readonly objective: number
  readonly windows: readonly IBurnWindow[]
}

/** Counts good and bad answers of calls that entered at this node. */
export interface IBurnService {
  record (service: ServiceName, isGood: boolean, now: Timestamp): void
  /** Burn as counted at this node. */
  local (now: Timestamp): readonly IBurnReport[]
  /** Burn of all failure domains, from the collected counts. */
  read (now: Timestamp): Promise<readonly IBurnReport[]>
}

export const IRouterService = createServiceKey<IRouterService>('routing.router')
export const IBurnService = createServiceKey<IBurnService>('routing.burn')
