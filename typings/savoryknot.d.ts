/** Public interface of the embeddable parts of savoryknot. Durations are in milliseconds unless a name says otherwise. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Readable } from 'node:stream'
import type { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js'
import type { Registry } from 'prom-client'

/** Releases what an object holds. A second call has no effect. */
export interface IDisposable {
  dispose (): void
}

/** Subscribes a listener; the returned object ends the subscription. */
export type IEvent<TArgument> = (listener: (argument: TArgument) => void) => IDisposable

// ---------------------------------------------------------------------------------------------------------------------
// The client: routing in the program's own process
// ---------------------------------------------------------------------------------------------------------------------

/** What an embedded client needs. */
export interface IMeshClientOptions {
  /** Failure domain in which the program runs. */
  readonly failureDomain: string
  /** Region of the failure domain. */
  readonly region: string
  /** `host:port` at which other nodes reach this process; the client listens there. The host is an IP address. */
  readonly peerAddress: string
  /** `host:port` of peer ports of nodes to join at. */
  readonly peers: readonly string[]
  /** The platform's table service, as the daemons use it. */
  readonly table: ITableService
  /** The platform's object store, as the daemons use it. */
  readonly objects: IObjectStore
  /** Certificates for calls to gates; plain text without them. */
  readonly keys?: INodeKeys
  /** Credentials of the peer port; plain text without them. */
  readonly serverCredentials?: ServerCredentials
  /** Credentials towards the peer ports of others; plain text without them. */
  readonly channelCredentials?: ChannelCredentials
  /** Where events go; warnings and errors go to standard error by default. */
  readonly log?: ILogService
  /** Registry for the client's metrics; one of its own by default. */
  readonly metrics?: IMetricsService
  /** Longest wait of `start` for the endpoints of other nodes; 5,000 by default. */
  readonly joinTimeoutMs?: number
}

/** Keys in PEM; read again after each `onReloaded`. */
export interface INodeKeys {
  readonly material: { readonly certificate: Buffer, readonly key: Buffer, readonly authority: Buffer }
  readonly onReloaded: IEvent<unknown>
}

/** One call. */
export interface IMeshRequest {
  /** Service whose document routes the call. */
  readonly service: string
  /** HTTP method; `GET` by default. */
  readonly method?: string
  /** Path with query. */
  readonly path: string
  /** Headers with lower-case names. Routes that run at most once need `idempotency-key`. */
  readonly headers?: IncomingHttpHeaders
  /** Bodies of up to 64 KiB can be sent again in a retry; a stream is sent once. */
  readonly body?: Uint8Array | Readable
  /** Time allowed for the call, if less than the route's deadline. */
  readonly deadlineMs?: number
  /**
   * Value of the header `savoryknot-depth` of the request on whose behalf the call is made. Calls with a depth
   * above 0 are not retried, so that retries do not multiply along a chain of services.
   */
  readonly depth?: number
  /** Cancels the call. */
  readonly signal?: AbortSignal
}

/** What became of a call. */
export type CallOutcome =
  /** A whole answer was passed on. */
  | { readonly kind: 'answered', readonly status: number }
  /** The request did not run and will not. */
  | { readonly kind: 'not-run', readonly reason: NotRunReason, readonly step: string, readonly peer?: string }
  /** The request may have run; its answer, or the rest of it, is lost. */
  | { readonly kind: 'unknown', readonly reason: string, readonly step: string, readonly peer?: string }

/** Why a request was not run. */
export type NotRunReason =
  | 'overloaded' | 'draining' | 'deadline' | 'cancelled' | 'no-endpoint' | 'no-route' | 'unreachable' | 'quarantined'
  | 'key-missing' | 'key-conflict' | 'store-unavailable' | 'too-large' | 'rate-limited' | 'malformed' | 'not-ready'

/** Answer to a call, collected in memory. */
export interface IMeshAnswer {
  readonly outcome: CallOutcome
  /** HTTP status; 0 unless the outcome is `answered`. */
  readonly status: number
  readonly headers: IncomingHttpHeaders
  /** Empty unless the outcome is `answered`. */
  readonly body: Buffer
}

/** Where the answer of a call goes as it comes. Exactly one of `end` and `abort` is called after `begin`. */
export interface IAnswerSink {
  begin (status: number, headers: IncomingHttpHeaders): void
  /** Returns false if the reader is slow; `onDrained` then fires when it has caught up. */
  write (chunk: Uint8Array): boolean
  end (): void
  /** The answer broke off: what was written is not whole. */
  abort (): void
  readonly onDrained: IEvent<void>
  readonly hasBegun: boolean
}

/** A member of the mesh without upstreams of its own. */
export class MeshClient {
  /** Joins the mesh; resolves when documents and endpoints are known, or when the time to join is over. */
  start (): Promise<void>
  /** Finishes the calls under way, announces the leave, and closes every connection. */
  stop (): Promise<void>
  /** Makes a call and collects its answer. Never rejects. */
  call (request: IMeshRequest): Promise<IMeshAnswer>
  /** Makes a call and passes its answer on as it comes. Never rejects. */
  route (request: IMeshRequest, sink: IAnswerSink): Promise<CallOutcome>
}

/** Makes a client; it joins the mesh with `start`. */
export function createMeshClient (options: IMeshClientOptions): MeshClient

// ---------------------------------------------------------------------------------------------------------------------
// The platform
// ---------------------------------------------------------------------------------------------------------------------

/** Names one row. */
export interface IRowReference {
  readonly table: string
  readonly key: string
}

/** One row as read; the revision changes with every write. */
export interface IRow {
  readonly key: string
  readonly revision: string
  readonly value: string
}

/** Reads rows in the order of their keys. */
export interface IRowScan {
  readonly table: string
  readonly fromKey: string
  readonly beforeKey?: string
  readonly limit: number
}

/** Conditions and writes that take effect together or not at all. */
export interface ITransaction {
  readonly conditions: ReadonlyArray<IRowReference & { readonly expected: string }>
  readonly writes: ReadonlyArray<IRowReference & { readonly value?: string }>
}

/**
 * Transactional table service. Transactions are serializable, and a read sees every transaction that was answered
 * before it began. Methods reject with `PlatformUnavailableError` if it is certain that nothing was written, and with
 * `OutcomeUnknownError` if a write may have taken effect.
 */
export interface ITableService {
  read (reference: IRowReference): Promise<IRow | undefined>
  scan (scan: IRowScan): Promise<readonly IRow[]>
  transact (transaction: ITransaction): Promise<{ readonly isCommitted: boolean }>
}

/** Object store with conditional put. Errors are those of `ITableService`. */
export interface IObjectStore {
  get (key: string): Promise<{ readonly revision: string, readonly content: Uint8Array } | undefined>
  put (key: string, content: Uint8Array, expected: string): Promise<{ readonly isWritten: boolean, readonly revision?: string }>
  delete (key: string): Promise<void>
}

/** Table service in the process's memory, for one machine and for tests. */
export class EmbeddedTableService implements ITableService {
  read (reference: IRowReference): Promise<IRow | undefined>
  scan (scan: IRowScan): Promise<readonly IRow[]>
  transact (transaction: ITransaction): Promise<{ readonly isCommitted: boolean }>
}

/** Object store in the process's memory, for one machine and for tests. */
export class EmbeddedObjectStore implements IObjectStore {
  get (key: string): Promise<{ readonly revision: string, readonly content: Uint8Array } | undefined>
  put (key: string, content: Uint8Array, expected: string): Promise<{ readonly isWritten: boolean, readonly revision?: string }>
  delete (key: string): Promise<void>
}

/** Base class of errors: where an error arose. */
export class SavoryknotError extends Error {
  constructor (message: string, origin: { readonly step: string, readonly peer?: string, readonly cause?: unknown })
  readonly step: string
  readonly peer: string | undefined
}

/** Nothing was written. */
export class PlatformUnavailableError extends SavoryknotError {}

/** A write may have taken effect. */
export class OutcomeUnknownError extends SavoryknotError {}

// ---------------------------------------------------------------------------------------------------------------------
// Kernel and common services
// ---------------------------------------------------------------------------------------------------------------------

/** Typed name under which a service is found. */
export interface IServiceKey<TService> {
  readonly name: string
  readonly _type?: TService
}

/** Makes the key of a service. */
export function createServiceKey<TService> (name: string): IServiceKey<TService>

/** How one service is made. */
export interface IServiceRegistration<TService extends object> {
  readonly key: IServiceKey<TService>
  readonly dependsOn: ReadonlyArray<IServiceKey<object>>
  create (kernel: Kernel): TService
}

/** Finds services by key; starts and stops them in the order of their dependencies. */
export class Kernel {
  register<TService extends object> (registration: IServiceRegistration<TService>): void
  /** Throws if the service has not been created. */
  get<TService extends object> (key: IServiceKey<TService>): TService
  start (): Promise<void>
  stop (): Promise<void>
}

/** One entry of the catalogue of events. */
export interface IEventDefinition {
  readonly number: number
  readonly name: string
  readonly level: 'error' | 'warn' | 'info' | 'debug'
  readonly meaning: string
}

/** Writes numbered events. */
export interface ILogService {
  log (event: IEventDefinition, fields?: Readonly<Record<string, string | number | boolean | undefined>>): void
}

/** Writes events to standard error. */
export class LogService implements ILogService {
  constructor (options?: { readonly level?: IEventDefinition['level'], readonly format?: 'json' | 'text' })
  log (event: IEventDefinition, fields?: Readonly<Record<string, string | number | boolean | undefined>>): void
}

/** Holds the registry of metrics. */
export interface IMetricsService {
  readonly registry: Registry
}

/** A registry of its own. */
export class MetricsService implements IMetricsService {
  readonly registry: Registry
}

/** Counts and logs breaches of invariants. */
export class InvariantService {
  constructor (options: { readonly log: ILogService, readonly metrics: IMetricsService })
  check (condition: boolean, invariant: string, step: string, peer?: string): boolean
  readonly breaches: number
}

/** The system clock; never goes backwards. */
export class ClockService {
  /** Milliseconds since the Unix epoch. */
  now (): number
  after (delay: number, action: () => void): IDisposable
  every (interval: number, action: () => void): IDisposable
  sleep (delay: number): Promise<void>
}

/** Random numbers that are the same for the same seed. */
export class RandomService {
  constructor (seed: number)
  /** From 0 up to, but not including, 1. */
  fraction (): number
  /** A whole number from 0 up to, but not including, `limit`. */
  integer (limit: number): number
}

// ---------------------------------------------------------------------------------------------------------------------
// Documents
// ---------------------------------------------------------------------------------------------------------------------

/** One fault of a document. */
export interface IDocumentFault {
  readonly section: string
  readonly key: string
  readonly message: string
}

/** Parses and checks the text of a service's document by itself. */
export class DocumentParser {
  parse (text: string):
    | { readonly isValid: true, readonly document: { readonly routes: readonly IRoute[] } }
    | { readonly isValid: false, readonly faults: readonly IDocumentFault[] }
}

/** A version of a document with its text. */
export interface IVersionedText {
  readonly service: string
  readonly version: number
  /** SHA-256 of the text in hexadecimal digits. */
  readonly hash: string
  readonly isTombstone: boolean
  readonly text: string
}

/** Documents in force, immutable. */
export interface ISnapshot {
  readonly documents: ReadonlyMap<string, IVersionedText & { readonly document: { readonly routes: readonly IRoute[] } | undefined }>
}

/** Builds snapshots: monotonic by version, hash verified, references closed, applied whole or not at all. */
export class SnapshotBuilder {
  constructor (options: { readonly parser: DocumentParser, readonly invariants: InvariantService })
  readonly empty: ISnapshot
  build (previous: ISnapshot, candidates: readonly IVersionedText[]):
  { readonly snapshot: ISnapshot, readonly rejections: readonly object[] }
}

// ---------------------------------------------------------------------------------------------------------------------
// Parts of the router
// ---------------------------------------------------------------------------------------------------------------------

/** One route of a document. */
export interface IRoute {
  readonly name: string
  /** Upper-case method, or `*`. */
  readonly method: string
  /** A segment `*` matches one segment, a last segment `**` matches the rest. */
  readonly path: string
}

/** Matches method and path; the first route that fits wins. */
export class RouteTable {
  constructor (routes: readonly IRoute[])
  match (method: string, path: string):
    | { readonly kind: 'matched', readonly route: IRoute }
    | { readonly kind: 'no-route' }
    /** The path is malformed or can be read in two ways. */
    | { readonly kind: 'malformed' }
}

/** An endpoint as the member view gives it. */
export interface IRoutableEndpoint {
  readonly id: string
  readonly service: string
  readonly state: 'warming' | 'serving' | 'draining' | 'left'
  readonly slots: number
  /** When the state began, milliseconds since the Unix epoch. */
  readonly since: number
  readonly failureDomain: string
  readonly region: string
  readonly node: string
  readonly gateAddress: string
  readonly isReachable: boolean
}

/** Load, latency and failures of one endpoint as seen from here. */
export class EndpointStatistics {
  /** `tier`: 0 same failure domain, 1 same region, 2 elsewhere. */
  constructor (endpoint: IRoutableEndpoint, tier: 0 | 1 | 2, seenAt: number)
  endpoint: IRoutableEndpoint
  /** Calls sent from here and not answered yet; kept by the program. */
  outstanding: number
  /** Takes the occupancy that an answer carried. */
  reportOccupancy (used: number, now: number): void
  /** Calls that the endpoint is thought to run: never fewer than this process sent it. */
  estimatedLoad (now: number): number
  /** True while the endpoint is ejected. */
  isEjected (now: number): boolean
}

/** Takes the less loaded of two different random endpoints. */
export class TwoChoicesBalancer {
  constructor (random: RandomService, rule: { readonly slowStart: number })
  /** `candidates` holds at least one endpoint. */
  choose (candidates: readonly EndpointStatistics[], now: number): EndpointStatistics
}

/** Takes any endpoint with equal chance. */
export class RandomBalancer {
  constructor (random: RandomService)
  choose (candidates: readonly EndpointStatistics[]): EndpointStatistics
}

/** Every request adds a share of a token; every retry takes a whole one. */
export class RetryBudget {
  constructor (options?: { readonly tokenLimit?: number, readonly initialTokens?: number })
  readonly tokens: number
  /** `percent`: share of requests that may be retried. */
  deposit (percent: number): void
  /** Returns false if there is no token. */
  withdraw (): boolean
}

/** Ejects endpoints that fail or are slow against their peers; never more than `ceilingPercent` of them. */
export class OutlierDetector {
  constructor (random: RandomService, options?: { readonly failureLimit?: number, readonly slownessFactor?: number })
  /** Returns true if the endpoint was ejected because it is slow against the others. */
  recordSuccess (
    subject: EndpointStatistics, latencyMs: number, all: readonly EndpointStatistics[], ceilingPercent: number, now: number
  ): boolean
  /** Returns true if the endpoint was ejected because it fails. */
  recordFailure (subject: EndpointStatistics, all: readonly EndpointStatistics[], ceilingPercent: number, now: number): boolean
  eligible (candidates: readonly EndpointStatistics[], now: number): readonly EndpointStatistics[]
}
