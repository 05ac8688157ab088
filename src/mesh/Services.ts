/** Interfaces between the components of the mesh, and interfaces that a platform adapter implements. */
import type { IncomingHttpHeaders } from 'node:http'
import { createServiceKey, type ILogService, type IService } from '../common/Services.js'
import type { EndpointId, FailureDomain, IEvent, Milliseconds, NetworkAddress, Region, ServiceName, Timestamp } from '../common/Types.js'
import type { PlatformHttpClient } from '../platform/PlatformHttpClient.js'
import type { IChangeFeed, ITableService } from '../platform/Services.js'
import type { IChangeBatch, IRowReference, StorePosition } from '../platform/Types.js'
import type { RouteIndex } from './configuration/RouteIndex.js'
import type {
  ConfigurationVersion, EndpointPlace, IEndpointRecord, IEndpointReport, IKnownNode, IMeshCall, IMeshConfiguration, IMeshEndpoint, NodeName
} from './Types.js'

/** Parses the text of a configuration in the format in which the platform stores it. */
export interface IConfigurationDecoder {
  /** Throws `ConfigurationError` if the text is not a valid configuration. */
  decode (text: string): IMeshConfiguration
}

/** Information in the status and header fields of an endpoint's response. */
export interface IEndpointResponseHead {
  /** ID of the request that the response belongs to; undefined if the response has none. */
  readonly requestId: string | undefined
  /** True if the endpoint states that it did not run the request. */
  readonly isNotExecuted: boolean
  /** True if another incarnation than the expected one responded; it did not run the request. */
  readonly isOtherIncarnation: boolean
  /** True if the response has the signature field of an endpoint. A successful status without the signature is not trusted. */
  readonly isSigned: boolean
}

/** Header fields exchanged with callers and endpoints of the platform. */
export interface IMessageFormat {
  /** Request ID that the caller set. */
  callerRequestId (headers: IncomingHttpHeaders): string | undefined
  /** The caller's timeout; undefined if the caller does not state one. */
  callerTimeout (headers: IncomingHttpHeaders): Milliseconds | undefined
  /** Lower-case names of the fields that a request may have once only. */
  readonly singleFields: ReadonlySet<string>
  /** The fields of a caller's request that are forwarded to the endpoint; all fields as alternating names and values. */
  forwardedFields (receivedFields: readonly string[]): readonly string[]
  /** The fields that the mesh itself adds for the endpoint. `expected`: the incarnation that should run the request. */
  endpointFields (call: IMeshCall, expected: EndpointId, remaining: Milliseconds): readonly string[]
  readResponseHead (status: number, headers: IncomingHttpHeaders): IEndpointResponseHead
  /** Fields of a response that the mesh itself generates for a caller. */
  refusalFields (requestId: string | undefined, retryAfter: Milliseconds | undefined): readonly string[]
}

/** The active configuration of this node. */
export interface IConfigurationService {
  /** Undefined until the first configuration was received. */
  readonly current: RouteIndex | undefined
  /** Text of the active configuration; empty before the first configuration. */
  readonly text: string
  readonly version: ConfigurationVersion
  /**
   * Applies the configuration atomically if it is newer. Returns true if the configuration is active now. `source`: the node that
   * sent the configuration, or the store.
   */
  applyIfNewer (text: string, source: string, now: Timestamp): boolean
  readonly onReplaced: IEvent<RouteIndex>
}

/** The node table as known to this node. */
export interface INodeTable {
  /** Store position up to which all changes are known; 0 before the first read. */
  readonly position: StorePosition
  readonly nodes: ReadonlyMap<NodeName, IKnownNode>
  /** Latest valid state of a node, even if its gate address appears in the later row of another node. */
  node (name: NodeName): IKnownNode | undefined
  /** Endpoints of a service that accept requests, including those on currently unreachable nodes. */
  endpoints (service: ServiceName): readonly IMeshEndpoint[]
  apply (batch: IChangeBatch, now: Timestamp): void
  readonly onChanged: IEvent<IChangeBatch>
}

/** Keeps the configuration and the node table up to date, from the store or from other nodes. */
export interface IViewService {
  /** True if the view was confirmed recently. */
  readonly isCurrent: boolean
  /** The latest time at which this node's configuration is known to have been the newest; the start time before the first confirmation. */
  readonly confirmedAt: Timestamp
  /** Resolves once the configuration and the node table are known. */
  readonly completed: Promise<void>
  /** Adds the address of a node to query for its view if no other source responds. */
  addPeerAddress (address: string): void
}

/** Decides whose endpoint a message describes. */
export interface IEndpointAuthority {
  /** Why the endpoint cannot be the one of this VM; undefined if it can be. `isInUse`: it was accepted before. */
  faultOf (endpoint: EndpointPlace, isInUse: boolean): string | undefined
}

/** Whether an endpoint's report was accepted. `foreign`: it does not describe the endpoint of this VM and had no effect. */
export type ReportOutcome = 'accepted' | 'outdated' | 'foreign'

/** The local endpoint: the one on the same VM as this node. */
export interface ILocalEndpoint {
  readonly record: IEndpointRecord | undefined
  /** Time of the last report; undefined if the endpoint has not reported to this process. */
  readonly reportedAt: Timestamp | undefined
  /** True while it is uncertain whether the endpoint with this record has ended. */
  readonly isDoubted: boolean
  /** Restores the record that an earlier process of this node published. Returns false if it cannot be from such a process. */
  restore (record: IEndpointRecord, now: Timestamp): boolean
  /** Why the report cannot be from the endpoint of this VM; undefined if it can be. */
  faultOf (report: IEndpointReport, now: Timestamp): string | undefined
  report (report: IEndpointReport, now: Timestamp): ReportOutcome
  /** Deregisters the endpoint; it gets no further requests. */
  deregister (id: EndpointId, bornAt: number, now: Timestamp): ReportOutcome
  readonly onChanged: IEvent<IEndpointRecord>
}

/** Where a node has the service of its VM from. */
export type LocalServiceSource =
  | 'settings'
  /** A report that the endpoint sent to this process. */
  | 'report'
  /** The row that an earlier process of this node stored. */
  | 'stored-row'

/** The service of the VM, which endpoints are told with each request that begins there. */
export interface ILocalService {
  readonly name: ServiceName
  readonly source: LocalServiceSource
}

/** Maintains this node's row in the node table. */
export interface IRegistrationService {
  /** Resolves when the store contains the current row of this node, or after `limit`. */
  waitUntilStored (limit: Milliseconds): Promise<boolean>
  /** Publishes to the other nodes that this node is shutting down. */
  markLeaving (): Promise<void>
}

/** Operations of the node that the platform and the endpoint request. */
export interface INodeControl {
  /** True while callers should be directed to this node. */
  readonly isReady: boolean
  /** Result of the platform's readiness check. A planned stop continues once the platform has received a negative result. */
  checkReadiness (): boolean
  /** Resolves when the report may be acknowledged. */
  report (report: IEndpointReport): Promise<void>
  /** Resolves when the deregistration of the endpoint may be acknowledged. */
  deregister (id: EndpointId, bornAt: number): Promise<void>
}

/** Limits the deadlines of requests that arrive during a planned stop. */
export interface IStopBounds {
  /** Deadline for a request that could take until `deadlineAt`; undefined if the request must be refused as it may outlast the stop. */
  deadlineOf (deadlineAt: Timestamp, now: Timestamp): Timestamp | undefined
}

/** Implementation of everything that depends on the platform on which the mesh runs. */
export interface IMeshAdapter {
  readonly decoder: IConfigurationDecoder
  readonly format: IMessageFormat
  /** Row in which the operator stores the configuration. */
  readonly configurationRow: IRowReference
  createStore (client: PlatformHttpClient, log: ILogService): ITableService & IChangeFeed
  /** Creates the servers for the platform's readiness checks and the endpoint's reports. */
  createControlPort (options: IControlPortOptions): IService
}

/** Dependencies and addresses of an adapter's control servers. */
export interface IControlPortOptions {
  readonly control: INodeControl
  readonly readyAddress: NetworkAddress
  readonly controlAddress: NetworkAddress
  readonly log: ILogService
}

/** Name and location of this node. */
export interface INodeIdentity {
  readonly name: NodeName
  readonly failureDomain: FailureDomain
  readonly region: Region
}

export const IConfigurationService = createServiceKey<IConfigurationService>('mesh.configuration')
export const IViewService = createServiceKey<IViewService>('mesh.view')
