/** Shapes of a service's document, of its faults, of accepted changes and of snapshots. */
import type { IIniFault } from '../common/IniLines.js'
import type {
  ChangeSequence, ContentHash, DocumentVersion, Milliseconds, ResourceName, RouteName, ServiceName, SubmissionId, TeamName, Timestamp
} from '../common/Types.js'

/** Importance of a route's requests; background is shed first. */
export type RequestClass = 'critical' | 'normal' | 'background'

/** Whether a request may be run again. */
export type RepeatRule = 'idempotent' | 'at-most-once' | 'non-idempotent'

/** Names a resource of any service. */
export interface IResourceReference {
  readonly service: ServiceName
  readonly resource: ResourceName
}

/** What every resource has. */
export interface IResourceBase {
  readonly name: ResourceName
  /** True if routes of other services may refer to it. */
  readonly isExported: boolean
}

/** How the endpoints of a service are reached and how much each may bear. */
export interface IPoolResource extends IResourceBase {
  readonly kind: 'pool'
  /** Requests that one endpoint runs at the same time. */
  readonly slots: number
  /** Connections that one endpoint accepts. */
  readonly connections: number
  /** Requests that may wait at one endpoint. */
  readonly queue: number
  /** Longest wait in the queue. */
  readonly queueTimeout: Milliseconds
  /** Ramp of an endpoint that has just started to serve. */
  readonly slowStart: Milliseconds
  /** Name of the balancing policy. */
  readonly balancing: 'two-choices' | 'random'
  /** Occupancy, in percent of the slots, above which calls spill to the next failure domain or region. */
  readonly spillAt: number
  /** Most endpoints, in percent, that outlier ejection may remove. */
  readonly ejectionCeiling: number
  /** Path of the upstream's health endpoint. */
  readonly healthPath: string
  /** Time between two probes. */
  readonly healthInterval: Milliseconds
}

/** How requests are tried again. */
export interface IRetryResource extends IResourceBase {
  readonly kind: 'retry'
  /** Most attempts of one call, the first included. */
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
  /** Largest request body in bytes. */
  readonly requestBytes: number
  /** Largest answer body in bytes. */
  readonly responseBytes: number
  /** Requests a second that one node admits on routes that use this limit; 0 is no limit. */
  readonly rate: number
}

export type Resource = IPoolResource | IRetryResource | ILimitResource

/** One route. Routes are tried in the order of the document; the first match wins. */
export interface IRoute {
  readonly name: RouteName
  /** Upper-case HTTP method, or `*`. */
  readonly method: string
  /** Path; a segment `*` matches one segment, a last segment `**` matches the rest. */
  readonly path: string
  /** The pool that serves the route. */
  readonly target: IResourceReference
  /** Retry rule; without it nothing is tried again. */
  readonly retry?: IResourceReference
  readonly limit?: IResourceReference
  readonly repeat: RepeatRule
  readonly class: RequestClass
  /** Time allowed for a whole call, unless the caller allows less. */
  readonly deadline: Milliseconds
}

/** What the service promises. */
export interface IObjective {
  /** Share of good answers in percent, below 100. */
  readonly availability: number
  /** An answer that takes longer is not good. */
  readonly latency: Milliseconds
  /** Period over which the objective is kept. */
  readonly window: Milliseconds
}

/** How an endpoint stops. */
export interface IStopRule {
  /** Longest time that requests in flight are given to finish. */
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

/** One fault of a document. */
export type IDocumentFault = IIniFault

/** Result of parsing; either a document or at least one fault. */
export type ParseResult =
  | { readonly isValid: true, readonly document: IServiceDocument }
  | { readonly isValid: false, readonly faults: readonly IDocumentFault[] }

/** Names one accepted version of one document, as announced between nodes. */
export interface IVersionEntry {
  readonly service: ServiceName
  readonly version: DocumentVersion
  readonly hash: ContentHash
  /** True if this version deletes the service. */
  readonly isTombstone: boolean
}

/** One accepted change, as it stands in the change log. */
export interface IAcceptedChange extends IVersionEntry {
  readonly sequence: ChangeSequence
  readonly author: string
  readonly acceptedAt: Timestamp
}

/** A version together with its text; a tombstone's text is empty. */
export interface IVersionedText extends IVersionEntry {
  readonly text: string
}

/** One document in force. */
export interface IActiveDocument extends IVersionEntry {
  /** Undefined for a tombstone. */
  readonly document: IServiceDocument | undefined
  readonly text: string
}

/** Immutable set of documents in force on a node. A request keeps the snapshot that it began with. */
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

/** Answer to a submission. */
export type SubmissionOutcome =
  | { readonly kind: 'accepted', readonly change: IAcceptedChange, readonly isRepeat: boolean }
  | { readonly kind: 'invalid', readonly faults: readonly IDocumentFault[] }
  | { readonly kind: 'conflict', readonly present: IAcceptedChange | undefined }
  | { readonly kind: 'forbidden', readonly message: string }
