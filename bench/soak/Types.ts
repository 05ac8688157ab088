/** Types of the soak. */
import type { EndpointMode } from '../../testing/mesh/EndpointStandIn.js'

/** Kind of a disruption of a node, its links, its endpoint or the store. Reloads and new configurations excuse no breach: not listed. */
export type DisruptionKind = 'killed' | 'paused' | 'late' | 'link' | 'endpoint' | 'replaced' | 'store' | 'stopping'

/** Failures of a VM, a link or an endpoint, during which a request may be lost. */
export const FAILURE_KINDS: readonly DisruptionKind[] = ['killed', 'paused', 'late', 'link', 'endpoint', 'replaced']

/** Name of a node, or EVERYTHING. */
export type Subject = string
/** Subject of a disruption that affects every node. */
export const EVERYTHING: Subject = '*'

/** Time on the monotonic clock of the soak, in milliseconds since its start. */
export type Moment = number

/** How a proxied link treats its connections: `deaf-forwards` loses bytes to the target, `deaf-backwards` bytes from it, `silent` both. */
export type LinkMode = 'well' | 'delayed' | 'silent' | 'deaf-forwards' | 'deaf-backwards' | 'refusing'

/** Kind of a request of the soak's callers. */
export type RequestKind = 'read' | 'pay' | 'short' | 'probe'

/** A request and its result as observed by its caller. */
export interface ICallerRecord {
  readonly id: string
  readonly node: Subject
  readonly kind: RequestKind
  readonly path: string
  readonly sentAt: Moment
  readonly endedAt: Moment
  /** 0 if the connection ended without a complete response. */
  readonly status: number
  readonly body: string
  /** Endpoint that signed the response; empty for a response of a node. */
  readonly signature: string
  /** Value of Retry-After in seconds; undefined without one. */
  readonly retryAfter: number | undefined
  /** True if the caller disconnected before the response. */
  readonly hasLeft: boolean
  /** True if the caller had sent the complete request. */
  readonly isWholeSent: boolean
  /** Number of the node's process at the time when the request was sent; each start increments it. */
  readonly incarnation: number
}

/** One execution of a request at an endpoint. */
export interface IRunRecord {
  readonly id: string
  /** Local node of the endpoint. */
  readonly node: Subject
  readonly path: string
  /** Service of the endpoint. */
  readonly service: string
  /** Service that the endpoint was told as the caller. */
  readonly callerService: string
  readonly startedAt: Moment
  /** Time at which the connection closed before the response; undefined if it did not. */
  abandonedAt: Moment | undefined
}

/** A heartbeat of another writer and the status of its response. */
export interface IForeignReport {
  readonly node: Subject
  readonly sentAt: Moment
  readonly status: number
  /** The respect in which it is foreign. */
  readonly fault: string
  readonly id: string
  /** The bytes that were sent, as Latin-1 text. */
  readonly body: string
}

/** A change of the service and the address of a VM's endpoint in the settings file of its node. */
export interface ISettingsChange {
  readonly node: Subject
  /** The new service. */
  readonly service: string
  /** Time at which the file had been written and the new endpoint sent its first heartbeat. */
  readonly changedAt: Moment
  /** Time of the first acknowledgement of the new endpoint; undefined if there was none. */
  readonly acknowledgedAt: Moment | undefined
  /** Start of the first run at the new endpoint after that; undefined if there was none. */
  readonly usedAt: Moment | undefined
}

/** Interval in which an endpoint drained after its node had acknowledged the report. */
export interface IDrain {
  readonly node: Subject
  readonly from: Moment
  readonly until: Moment
}

/** A guarantee that was not kept, and the records that show it. */
export interface IBreach {
  readonly guarantee: string
  readonly detail: string
}

/** Malformed responses that an endpoint writes directly to the socket. */
export type ScriptName = 'repeats-refusal' | 'stops-in-head'

/** Endpoint modes and scripts that are injected as faults. */
export const ENDPOINT_FAULTS: ReadonlyArray<EndpointMode | ScriptName> = [
  'shed', 'fail', 'reset-after-run', 'silent', 'unsigned', 'other-id', 'cut-without-length', 'endless-body', 'endless-interim', 'endless-noise',
  'repeats-refusal', 'stops-in-head'
]
