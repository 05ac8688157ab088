/** Types of a call, its response and its outcome, shared by the gate and the router. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Readable } from 'node:stream'
import type {
  IdempotencyKey, IEvent, RequestId, ResourceName, RouteName, ServiceName, Timestamp, DocumentVersion
} from '../common/Types.js'
import type { RequestClass, RouteIdempotency } from '../documents/Types.js'

/** Headers between nodes and towards callers. */
export const HEADER = Object.freeze({
  /** `answered`, `not-run` or `unknown`. */
  outcome: 'savoryknot-outcome',
  /** Reason of an outcome other than `answered`. */
  reason: 'savoryknot-reason',
  requestId: 'savoryknot-request-id',
  /** Remaining time in milliseconds. */
  deadline: 'savoryknot-deadline-ms',
  /** Service whose document routes the call; callers may set it instead of using the host name. */
  service: 'savoryknot-service',
  route: 'savoryknot-route',
  version: 'savoryknot-version',
  /** Used and total slots of the endpoint as `used/slots`, in responses between nodes. */
  occupancy: 'savoryknot-occupancy',
  /** Number of service-to-service hops so far; calls with one or more are never retried. */
  depth: 'savoryknot-depth',
  idempotencyKey: 'idempotency-key'
} as const)

/** A call to an upstream. */
export interface ICall {
  readonly requestId: RequestId
  /** Service whose document contains the route. */
  readonly service: ServiceName
  readonly route: RouteName
  /** Version of the document by which the call was routed. */
  readonly version: DocumentVersion
  /** Service whose endpoints run the call. */
  readonly targetService: ServiceName
  readonly targetResource: ResourceName
  readonly method: string
  /** Path with query, as received. */
  readonly path: string
  /** End-to-end headers only; hop-by-hop headers have been removed. */
  readonly headers: IncomingHttpHeaders
  /** Undefined if the request has no body. */
  readonly body: Readable | undefined
  /**
   * The complete body if it has already been read, see `HttpInbound.readSmallBody`; `body` is then not used. Only such a
   * call, or a call whose `body` has not been read from, may be retried at another endpoint.
   */
  readonly bodyContent?: Buffer
  /** Size of the body from `content-length`; undefined if unknown. */
  readonly bodyBytes: number | undefined
  readonly deadlineAt: Timestamp
  readonly class: RequestClass
  readonly repeat: RouteIdempotency
  readonly idempotencyKey: IdempotencyKey | undefined
  readonly depth: number
  /** Fires if the caller disconnects. */
  readonly onCancelled: IEvent<void>
  readonly isCancelled: boolean
}

/** Destination of the response to a call. Exactly one of `end` and `abort` is called after `begin`. */
export interface IAnswerSink {
  begin (status: number, headers: IncomingHttpHeaders): void
  /** Returns false if the write buffer is full; `onDrained` then fires when it has been flushed. */
  write (chunk: Uint8Array): boolean
  end (): void
  /** Closes the connection to the caller, so that a truncated response never looks complete. */
  abort (): void
  readonly onDrained: IEvent<void>
  readonly hasBegun: boolean
}

/** Outcome of one attempt. */
export type CallOutcome =
  /** A complete response was forwarded. */
  | { readonly kind: 'answered', readonly status: number }
  /** No byte of the request was sent to the upstream, and none will be. */
  | { readonly kind: 'not-run', readonly reason: NotRunReason, readonly step: string, readonly peer?: string }
  /** The request may have run; its response, or the rest of it, is lost. */
  | { readonly kind: 'unknown', readonly reason: string, readonly step: string, readonly peer?: string }

/** Reason of an unknown outcome whose upstream crashed. The request may be the cause; it becomes suspect at every gate once broadcast. */
export const UPSTREAM_CRASHED_REASON = 'upstream-crashed'

/** Why a request was not run. */
export type NotRunReason =
  | 'overloaded' | 'draining' | 'deadline' | 'cancelled' | 'no-endpoint' | 'no-route' | 'unreachable' | 'quarantined'
  | 'key-missing' | 'key-conflict' | 'store-unavailable' | 'too-large' | 'rate-limited' | 'malformed' | 'not-ready'

/** Executes one attempt of a call: the local gate, or the gate of another node. */
export interface ICallTarget {
  /** Never rejects. The sink has received a response head only if the outcome is `answered` or `unknown`. */
  execute (call: ICall, sink: IAnswerSink): Promise<CallOutcome>
}

/**
 * Reply to a settle query, which asks for the state of a request whose connection was lost. `never-will-be`: the request was not
 * started and never will be.
 */
export type SettleResult = 'started' | 'never-will-be'
