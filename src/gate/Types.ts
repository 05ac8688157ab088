/** Shapes of a call, of its answer and of its outcome, as the gate and the router see them. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Readable } from 'node:stream'
import type {
  IdempotencyKey, IEvent, RequestId, ResourceName, RouteName, ServiceName, Timestamp, DocumentVersion
} from '../common/Types.js'
import type { RequestClass, RepeatRule } from '../documents/Types.js'

/** Headers between nodes and towards callers. */
export const HEADER = Object.freeze({
  /** `answered`, `not-run` or `unknown`. */
  outcome: 'savoryknot-outcome',
  /** Why, in a few words, where the outcome is not `answered`. */
  reason: 'savoryknot-reason',
  requestId: 'savoryknot-request-id',
  /** Milliseconds that remain. */
  deadline: 'savoryknot-deadline-ms',
  /** Service whose document routes the call; callers may set it in place of the host name. */
  service: 'savoryknot-service',
  route: 'savoryknot-route',
  version: 'savoryknot-version',
  /** Occupied slots and slots of the endpoint, `used/slots`, on answers between nodes. */
  occupancy: 'savoryknot-occupancy',
  /** Number of service-to-service hops so far; calls with one or more are never retried. */
  depth: 'savoryknot-depth',
  idempotencyKey: 'idempotency-key'
} as const)

/** One call on its way to an upstream. */
export interface ICall {
  readonly requestId: RequestId
  /** Service whose document holds the route. */
  readonly service: ServiceName
  readonly route: RouteName
  /** Version of the document by which the call was routed. */
  readonly version: DocumentVersion
  /** Service whose endpoints run the call. */
  readonly targetService: ServiceName
  readonly targetResource: ResourceName
  readonly method: string
  /** Path with query, as it came. */
  readonly path: string
  /** End-to-end headers only; hop-by-hop headers have been removed. */
  readonly headers: IncomingHttpHeaders
  /** Undefined if the request has no body. */
  readonly body: Readable | undefined
  /**
   * The whole body, if it was read before, see `HttpInbound.readSmallBody`; `body` is then not used. Only
   * such a call, or one whose body has not been read from, may be tried again elsewhere.
   */
  readonly bodyContent?: Buffer
  /** Size of the body from its header; undefined if it is not known. */
  readonly bodyBytes: number | undefined
  readonly deadlineAt: Timestamp
  readonly class: RequestClass
  readonly repeat: RepeatRule
  readonly idempotencyKey: IdempotencyKey | undefined
  readonly depth: number
  /** Fires if the caller went away. */
  readonly onCancelled: IEvent<void>
  readonly isCancelled: boolean
}

/** Where the answer of a call goes. Exactly one of `end` and `abort` is called after `begin`. */
export interface IAnswerSink {
  begin (status: number, headers: IncomingHttpHeaders): void
  /** Returns false if the reader is slow; `onDrained` then fires when it has caught up. */
  write (chunk: Uint8Array): boolean
  end (): void
  /** Breaks the connection to the caller, so that a part never looks whole. */
  abort (): void
  readonly onDrained: IEvent<void>
  readonly hasBegun: boolean
}

/** What became of one attempt. */
export type CallOutcome =
  /** A whole answer was passed on. */
  | { readonly kind: 'answered', readonly status: number }
  /** Not a byte of the request was sent to the upstream, and none will be. */
  | { readonly kind: 'not-run', readonly reason: NotRunReason, readonly step: string, readonly peer?: string }
  /** The request may have run; its answer, or the rest of it, is lost. */
  | { readonly kind: 'unknown', readonly reason: string, readonly step: string, readonly peer?: string }

/** Reason of an unknown outcome whose upstream crashed: the request may be the cause, and is suspect at every gate soon. */
export const UPSTREAM_CRASHED_REASON = 'upstream-crashed'

/** Why a request was not run. */
export type NotRunReason =
  | 'overloaded' | 'draining' | 'deadline' | 'cancelled' | 'no-endpoint' | 'no-route' | 'unreachable' | 'quarantined'
  | 'key-missing' | 'key-conflict' | 'store-unavailable' | 'too-large' | 'rate-limited' | 'malformed' | 'not-ready'

/** Runs one attempt of a call: the local gate, or the gate of another node. */
export interface ICallTarget {
  /** Never rejects. The sink has begun only if the outcome is `answered` or `unknown`. */
  execute (call: ICall, sink: IAnswerSink): Promise<CallOutcome>
}

/** Answer to the question what became of a request whose connection broke. */
export type SettleAnswer = 'started' | 'never-will-be'
