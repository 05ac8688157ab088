/** Types of a service's document, its faults, accepted changes and snapshots. */
import type { IIniFault } from '../common/IniLines.js'
import type {
  ChangeSequence, ContentHash, DocumentVersion, Milliseconds, ResourceName, RouteName, ServiceName, SubmissionId, TeamName, Timestamp
} from '../common/Types.js'

/** Priority of a route's requests; background requests are shed first. */
export type RequestClass = 'critical' | 'normal' | 'background'

/** Whether a request may run more than once. */
export type RouteIdempotency = 'idempotent' | 'at-most-once' | 'non-idempotent'

/** Reference to a resource of any service. */
export interface IResourceReference {
  readonly service: ServiceName
  readonly resource: ResourceName
}

/** Properties that all resources have. */
export interface IResourceBase {
  readonly name: ResourceName
  /** True if routes of other services may refer to it. */
  readonly isExported: boolean
}

/** Capacity, load balancing and health probes of the endpoints of a service. */
export interface IPoolResource extends IResourceBase {
  readonly kind: 'pool'
  /** Requests that one endpoint runs concurrently. */
  readonly slots: number
  /** Connections that one endpoint accepts. */
  readonly connections: number
  /** Requests that may wait at one endpoint. */
  readonly queue: number
  /** Maximum wait in the queue. */
  readonly queueTimeout: Milliseconds
  /** Time over which a newly started endpoint ramps up to its full share of requests. */
  readonly slowStart: Milliseconds
  /** Name of the balancing policy. */
  readonly balancing: 'two-choices' | 'random'
  /** Occupancy, in percent of the slots, above which calls spill to the next failure domain or region. */
  readonly spillAt: number
  /** Maximum share of endpoints, in percent, that may be ejected as outliers. */
  readonly ejectionCeiling: number
  /** Path of the upstream's health endpoint. */
  readonly healthPath: string
  /** Time between two probes. */
  readonly healthInterval: Milliseconds
}

/** How requests are retried. */
export interface IRetryResource extends IResourceBase {
  readonly kind: 'retry'
  /** Maximum number of attempts of one call, including the first. */
  readonly attempts: number
  /** Retries allowed, in percent of requests. */
  readonly budget: number
  /** Upper bound of the first backoff; full jitter. */
  readonly backoff: Milliseconds
  /** Upper bound of every backoff. */
  readonly backoffLimit: Milliseconds
}

/** Limits on the size and rate of requests. */
export interface ILimitResource extends IResourceBase {
  readonly kind: 'limit'
  /** Maximum size of a request body in bytes. */
  readonly requestBytes: number
  /** Maximum size of a response body in bytes. */
  readonly responseBytes: number
  /** Requests a second that one node admits on routes that use this limit; 0 is no limit. */
  readonly rate: number
}

export type Resource = IPoolResource | IRetryResource | ILimitResource

/** One route. Routes are tried in the order of the document; the first match is used. */
export interface IRoute {
  readonly name: RouteName
  /** Upper-case HTTP method, or `*`. */
  readonly method: string
  /** Path; a segment `*` matches one segment, a last segment `**` matches the rest. */
  readonly path: string
  /** The pool that serves the route. */
  readonly target: IResourceReference
  /** Retry rule; without it requests are not retried. */
  readonly retry?: IResourceReference
  readonly limit?: IResourceReference
  readonly repeat: RouteIdempotency
  readonly class: RequestClass
  /** Time allowed for a complete call, unless the caller allows less. */
  readonly deadline: Milliseconds
}

/** Service-level objective of a service. */
export interface IObjective {
  /** Share of good responses in percent, below 100. */
  readonly availability: number
  /** A response that takes longer is not good. */
  readonly latency: Milliseconds
  /** Period to which the objective applies. */
  readonly window: Milliseconds
}

/** How an endpoint stops. */
export interface IStopRule {
  /** Maximum time for requests in flight to finish. */
  readonly drainGrace: Milliseconds
}

/** One parsed document. */
export interface IServiceDocument {
  /** Format number of the document; this program reads formats up to 1. */
  readonly format: number
  readonly service: ServiceName
  readonly owner: TeamName
  readonly objective: IObjective
  readonly resources: readonly Resource[]
  readonly routes: readonly IRoute[]
  readonly stop: IStopRule
}

export type IDocumentFault = IIniFault

/** Result of parsing; either a document or at least one fault. */
export type ParseResult =
  | { readonly isValid: true, readonly document: IServiceDocument }
  | { readonly isValid: false, readonly faults: readonly IDocumentFault[] }

/** Identifies one accepted version of one document, as announced between nodes. */
export interface IVersionEntry {
  readonly service: ServiceName
  readonly version: DocumentVersion
  readonly hash: ContentHash
  /** True if this version deletes the service. */
  readonly isTombstone: boolean
}

/** One accepted change, as stored in the change log. */
export interface IAcceptedChange extends IVersionEntry {
  readonly sequence: ChangeSequence
  readonly author: string
  readonly acceptedAt: Timestamp
}

/** A version together with its text; a tombstone's text is empty. */
export interface IVersionedText extends IVersionEntry {
  readonly text: string
}

/** A document or tombstone that a node has applied. */
export interface IActiveDocument extends IVersionEntry {
  /** Undefined for a tombstone. */
  readonly document: IServiceDocument | undefined
  readonly text: string
}

/** Immutable set of the documents that a node has applied. A request keeps the snapshot with which it started. */
export interface ISnapshot {
  readonly documents: ReadonlyMap<ServiceName, IActiveDocument>
  /** The resource, or undefined if this snapshot lacks it. */
  resource (reference: IResourceReference): Resource | undefined
}

/** Why a version was not applied. */
export interface IRejection {
  readonly entry: IVersionEntry
  readonly reason: string
  /** True if the version may become applicable when other documents arrive. */
  readonly isWaiting: boolean
}

/** A request to accept a document or a deletion. */
export interface ISubmission {
  readonly id: SubmissionId
  readonly service: ServiceName
  /** Version that the submission was written against; `'new'` if there is none. */
  readonly expected: DocumentVersion | 'new'
  /** Undefined to delete the service. */
  readonly text?: string
  readonly author: string
  /** Team proved by the operator's certificate; undefined where certificates are off. */
  readonly team?: TeamName
}

/** Outcome of a submission. */
export type SubmissionOutcome =
  | { readonly kind: 'accepted', readonly change: IAcceptedChange, readonly isRepeat: boolean }
  | { readonly kind: 'invalid', readonly faults: readonly IDocumentFault[] }
  | { readonly kind: 'conflict', readonly present: IAcceptedChange | undefined }
  | { readonly kind: 'forbidden', readonly message: string }
