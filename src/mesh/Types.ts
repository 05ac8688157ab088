/** Data types of the mesh: its configuration, its nodes and endpoints, and the calls that nodes send to each other. */
import type {
  Brand, EndpointId, FailureDomain, ILocation, Milliseconds, NetworkAddress, RequestFingerprint, RequestId, RouteName, ServiceName,
  Timestamp
} from '../common/Types.js'
import type { RouteIdempotency } from '../documents/Types.js'

/** Version of the complete configuration. Increases with every change; numbers may be skipped. */
export type ConfigurationVersion = Brand<number, 'ConfigurationVersion'>
/** Name of one node; a restarted process keeps the name. */
export type NodeName = Brand<string, 'NodeName'>

/** Hash of the method, host and path of a request. */
export type RequestTarget = Brand<string, 'RequestTarget'>

/** Identifies one request in one crash of an endpoint. */
export type CrashId = Brand<string, 'CrashId'>

/**
 * What ended when an endpoint closed all its connections. `connections`: it accepts new ones; `process`: it does not;
 * `process-alone`: it does not, and it was executing one request only; `trial`: any of these during a trial of the request.
 */
export type CrashKind = 'connections' | 'process' | 'process-alone' | 'trial'

/** A request that an endpoint was executing when it closed all its connections. */
export interface ICrashRecord {
  readonly id: CrashId
  readonly fingerprint: RequestFingerprint
  readonly kind: CrashKind
}

/** What a node publishes about crashes in its row. */
export interface ICrashReport {
  readonly crashes: readonly ICrashRecord[]
  /** Records that no longer count, because an endpoint has since executed the request to its end. */
  readonly cleared: readonly CrashId[]
}

/** Whether a request may run more than once. */
export type Idempotency = Exclude<RouteIdempotency, 'at-most-once'>

/** Share of a route's requests that is sent to one service. */
export interface ITrafficShare {
  readonly service: ServiceName
  /** Relative to the other shares of the route. */
  readonly weight: number
}

/** One route: matches requests to a host whose path starts with a prefix. */
export interface IMeshRoute {
  readonly name: RouteName
  /** Lower case, without port. */
  readonly host: string
  /** Starts and ends with a slash. */
  readonly prefix: string
  /** At least one. */
  readonly shares: readonly ITrafficShare[]
  readonly repeat: Idempotency
  /** Maximum time from the arrival of a request to its response. */
  readonly timeout: Milliseconds
  /** Target response time: a response after the objective has less value to the caller. */
  readonly objective: Milliseconds
  /** Maximum number of endpoints that one request may be sent to. */
  readonly attempts: number
  /** Priority; 0 is the highest. */
  readonly rank: number
}

/** One service that is the target of routes. */
export interface IMeshService {
  readonly name: ServiceName
  /** Connections that one endpoint accepts. */
  readonly connections: number
}

/** Limits on the size and duration of the requests of callers. */
export interface ICallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeout: Milliseconds
  /** Time after which an idle connection of a caller is closed. */
  readonly idleTimeout: Milliseconds
}

/** The complete configuration; immutable. */
export interface IMeshConfiguration {
  readonly version: ConfigurationVersion
  readonly routes: readonly IMeshRoute[]
  readonly services: ReadonlyMap<ServiceName, IMeshService>
  readonly limits: ICallerLimits
}

/**
 * Lifecycle phase of an endpoint. `serving`: accepts requests; `draining`: finishes the requests it has; `gone`: deregistered or stopped.
 * `silent`: was serving according to an earlier process of its node and has not reported to the current process yet.
 */
export type EndpointPhase = 'silent' | 'serving' | 'draining' | 'gone'

/** State of an endpoint as reported in its heartbeat. */
export interface IEndpointReport {
  readonly id: EndpointId
  /** Start time of this incarnation by the endpoint's own clock; 0 if the endpoint does not report it. */
  readonly bornAt: number
  /** Increases with every report of one incarnation. */
  readonly sequence: number
  readonly service: ServiceName
  readonly address: NetworkAddress
  readonly slots: number
  readonly phase: 'serving' | 'draining'
  /** Remaining time in which the endpoint is slow because it has just started. */
  readonly warmUpLeft: Milliseconds
}

/** The local endpoint of a node, as the node publishes it to the other nodes. */
export interface IEndpointRecord {
  readonly id: EndpointId
  readonly bornAt: number
  readonly service: ServiceName
  readonly address: NetworkAddress
  readonly slots: number
  readonly phase: EndpointPhase
  /** Remaining warm-up time when the record was written. */
  readonly warmUpLeft: Milliseconds
}

/** What an endpoint runs and where. */
export type EndpointPlace = Pick<IEndpointRecord, 'service' | 'address'>

/** One row of the node table. */
export interface INodeRow extends ILocation {
  readonly node: NodeName
  /** HTTP port for calls from other nodes. */
  readonly gateAddress: NetworkAddress
  /** RPC port for views. */
  readonly peerAddress: NetworkAddress
  /** True during a planned stop of the node. */
  readonly isLeaving: boolean
  readonly endpoint?: IEndpointRecord
  /** Absent if the node has nothing to report. */
  readonly crashReport?: ICrashReport
}

/** A node as known to another node. */
export interface IKnownNode extends INodeRow {
  /** When this process received the row. */
  readonly learntAt: Timestamp
}

/** An endpoint that may be sent requests, with the node that forwards them to the endpoint. */
export interface IMeshEndpoint {
  readonly node: IKnownNode
  readonly endpoint: IEndpointRecord
}

/** Load of one endpoint as reported by its node with each response. */
export interface IEndpointLoad {
  /** Number of running and queued requests. */
  readonly occupied: number
  readonly slots: number
  /** Service time estimate of a request in a slot; 0 if no request has finished yet. */
  readonly serviceTime: Milliseconds
  /** Share of recent requests that the endpoint failed or rejected, in percent. */
  readonly failurePercent: number
  /** Time that the request spent at the node and its local endpoint. */
  readonly handled: Milliseconds
  /** When the node reported this load, by the node's own clock. */
  readonly reportedAt?: Timestamp
}

/** One attempt of a request, as a node sends it to the node of the selected endpoint. */
export interface IMeshCall {
  /** Identifies this attempt. */
  readonly requestId: RequestId
  /** Request ID set by the caller; the endpoint repeats it in its response. */
  readonly callerRequestId: string | undefined
  readonly route: RouteName
  readonly service: ServiceName
  readonly endpoint: EndpointId
  /** Service on the VM that received the request from the caller. */
  readonly callerService: string
  readonly repeat: Idempotency
  readonly rank: number
  /** When the objective of the route expires. */
  readonly objectiveAt: Timestamp
  readonly deadlineAt: Timestamp
  readonly method: string
  /** Path with query, unmodified. */
  readonly path: string
  /** Header fields to forward unmodified, as alternating names and values. */
  readonly fields: readonly string[]
  readonly body: Buffer | undefined
}

/** A complete HTTP response. */
export interface ICompleteResponse {
  readonly status: number
  /** Header fields as alternating names and values, without hop-by-hop fields and `content-length`. */
  readonly fields: readonly string[]
  readonly body: Buffer
}

/** Why an attempt did not run and never will. */
export type RefusalReason =
  /** The endpoint has no free slot before the deadline, or the queue rejected or evicted the request in favor of others. */
  | 'overloaded'
  /** The endpoint is draining, or its node is shutting down. */
  | 'draining'
  /** The node has no such endpoint. */
  | 'no-endpoint'
  /** No connection to the node or to the endpoint could be opened. */
  | 'unreachable'
  | 'deadline'
  | 'cancelled'
  /** The endpoint itself rejected the request. */
  | 'shed'
  /** Identical requests have ended their endpoints. */
  | 'quarantined'

/** Outcome of one attempt. */
export type AttemptOutcome = (
  | { readonly kind: 'answered', readonly answer: ICompleteResponse }
  /** Did not run and never will. `retryAfter`: time until a free slot is expected. */
  | { readonly kind: 'refused', readonly reason: RefusalReason, readonly retryAfter?: Milliseconds }
  /** The attempt may have run. `crash`: the endpoint ended while it executed the request. */
  | { readonly kind: 'unknown', readonly reason: string, readonly crash?: ICrashRecord }
) & {
  readonly load?: IEndpointLoad
  /** Time spent waiting for a connection to the other node; undefined if a connection was available at once. */
  readonly connectTime?: Milliseconds
}

export type { FailureDomain }
