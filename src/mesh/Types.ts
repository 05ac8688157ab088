/** Shapes of the mesh: its configuration, its nodes and endpoints, and the calls that nodes pass to each other. */
import type {
  Brand, EndpointId, FailureDomain, ILocation, Milliseconds, NetworkAddress, RequestId, RouteName, ServiceName, Timestamp
} from '../common/Types.js'
import type { RepeatRule } from '../documents/Types.js'

/** Version of the whole configuration; grows with every change, with gaps. */
export type ConfigurationVersion = Brand<number, 'ConfigurationVersion'>
/** Name of one node; a restarted process keeps it. */
export type NodeName = Brand<string, 'NodeName'>

/** Whether a request may run more than once. */
export type RepeatKind = Exclude<RepeatRule, 'at-most-once'>

/** Part of a route's requests that goes to one service. */
export interface ITrafficShare {
  readonly service: ServiceName
  /** Relative to the other shares of the route. */
  readonly weight: number
}

/** One route: requests to a host whose path begins with a prefix. */
export interface IMeshRoute {
  readonly name: RouteName
  /** Lower case, without port. */
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  /** At least one. */
  readonly shares: readonly ITrafficShare[]
  readonly repeat: RepeatKind
  /** Longest time that a request is kept waiting. */
  readonly timeout: Milliseconds
  /** Time within which an answer is worth most. */
  readonly objective: Milliseconds
  /** Most endpoints that one request may be sent to. */
  readonly attempts: number
  /** 0 is the most important. */
  readonly rank: number
}

/** One service that routes lead to. */
export interface IMeshService {
  readonly name: ServiceName
  /** Connections that one endpoint accepts. */
  readonly connections: number
}

/** What callers may send, and how long they may take. */
export interface ICallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeout: Milliseconds
  /** Time after which an unused connection of a caller is closed. */
  readonly idleTimeout: Milliseconds
}

/** The configuration as a whole; immutable. */
export interface IMeshConfiguration {
  readonly version: ConfigurationVersion
  readonly routes: readonly IMeshRoute[]
  readonly services: ReadonlyMap<ServiceName, IMeshService>
  readonly limits: ICallerLimits
}

/**
 * Life of an endpoint: it takes requests, finishes those that it has, or takes none any more. `silent`: it served when an
 * earlier process of its node heard of it, and has not reported to the present one.
 */
export type EndpointPhase = 'silent' | 'serving' | 'draining' | 'gone'

/** What an endpoint says of itself in a heartbeat. */
export interface IEndpointReport {
  readonly id: EndpointId
  /** Start of this incarnation by the endpoint's own clock; 0 if it does not tell. */
  readonly bornAt: number
  /** Grows with every report of one incarnation. */
  readonly sequence: number
  readonly service: ServiceName
  readonly address: NetworkAddress
  readonly slots: number
  readonly phase: 'serving' | 'draining'
  /** How much longer the endpoint is slow after its start. */
  readonly warmUpLeft: Milliseconds
}

/** The endpoint beside a node, as the node tells the others. */
export interface IEndpointRecord {
  readonly id: EndpointId
  readonly bornAt: number
  readonly service: ServiceName
  readonly address: NetworkAddress
  readonly slots: number
  readonly phase: EndpointPhase
  /** Left of the warm-up when the record was written. */
  readonly warmUpLeft: Milliseconds
}

/** One row of the table of nodes. */
export interface INodeRow extends ILocation {
  readonly node: NodeName
  /** HTTP port for calls from other nodes. */
  readonly gateAddress: NetworkAddress
  /** RPC port for views. */
  readonly peerAddress: NetworkAddress
  /** True while the node stops on purpose. */
  readonly isLeaving: boolean
  readonly endpoint?: IEndpointRecord
}

/** A node as others know it. */
export interface IKnownNode extends INodeRow {
  /** When this process learnt the row. */
  readonly learntAt: Timestamp
}

/** An endpoint that may be given requests, with the node that passes them on to it. */
export interface IMeshEndpoint {
  readonly node: IKnownNode
  readonly endpoint: IEndpointRecord
}

/** Occupancy of one endpoint as its node tells it with each answer. */
export interface IEndpointLoad {
  /** Requests that run or wait. */
  readonly occupied: number
  readonly slots: number
  /** Usual time of a request in a slot; 0 if none has finished yet. */
  readonly serviceTime: Milliseconds
  /** Share of recent requests that the endpoint failed or turned away, in percent. */
  readonly failurePercent: number
  /** Time that the request spent at the node and its endpoint. */
  readonly handled: Milliseconds
  /** When the node told this, by its own clock. */
  readonly toldAt?: Timestamp
}

/** One attempt of a request, as a node hands it to the node beside an endpoint. */
export interface IMeshCall {
  /** Of this attempt. */
  readonly requestId: RequestId
  /** Id that the caller gave the request; the endpoint's answer names it. */
  readonly callerRequestId: string | undefined
  readonly route: RouteName
  readonly service: ServiceName
  readonly endpoint: EndpointId
  /** Service that runs on the VM on which the request began. */
  readonly callerService: string
  readonly repeat: RepeatKind
  readonly rank: number
  /** When the answer stops to be worth most. */
  readonly objectiveAt: Timestamp
  readonly deadlineAt: Timestamp
  readonly method: string
  /** Path with query, as it came. */
  readonly path: string
  /** Fields to send on as they are, names and values in turn. */
  readonly fields: readonly string[]
  readonly body: Buffer | undefined
}

/** A whole answer. */
export interface IWholeAnswer {
  readonly status: number
  /** Names and values in turn, without those of one connection and without the length of the body. */
  readonly fields: readonly string[]
  readonly body: Buffer
}

/** Why an attempt has not run and never will. */
export type RefusalReason =
  /** The endpoint has no room before the deadline, or the request is not worth its place in the queue. */
  | 'overloaded'
  /** The endpoint leaves, or its node stops. */
  | 'draining'
  /** The node has no such endpoint. */
  | 'no-endpoint'
  /** No connection to the node or to the endpoint. */
  | 'unreachable'
  | 'deadline'
  | 'cancelled'
  /** The endpoint itself turned the request away. */
  | 'shed'

/** What became of one attempt. */
export type AttemptOutcome = (
  | { readonly kind: 'answered', readonly answer: IWholeAnswer }
  /** Not run, and never will be. `retryAfter`: when room is expected. */
  | { readonly kind: 'refused', readonly reason: RefusalReason, readonly retryAfter?: Milliseconds }
  /** The attempt may have run. */
  | { readonly kind: 'unknown', readonly reason: string }
) & {
  readonly load?: IEndpointLoad
  /** Time until there was a connection to the other node; undefined if none was waited for. */
  readonly connectTime?: Milliseconds
}

export type { FailureDomain }
