/** Interfaces between the parts of the mesh, and of what an adapter to a platform gives them. */
import type { IncomingHttpHeaders } from 'node:http'
import { createServiceKey, type ILogService, type IService } from '../common/Services.js'
import type { EndpointId, FailureDomain, IEvent, Milliseconds, NetworkAddress, Region, ServiceName, Timestamp } from '../common/Types.js'
import type { PlatformHttpClient } from '../platform/PlatformHttpClient.js'
import type { IChangeFeed, ITableService } from '../platform/Services.js'
import type { IChangeBatch, IRowReference, StorePosition } from '../platform/Types.js'
import type { RouteIndex } from './configuration/RouteIndex.js'
import type {
  ConfigurationVersion, IEndpointRecord, IEndpointReport, IKnownNode, IMeshCall, IMeshConfiguration, IMeshEndpoint, NodeName
} from './Types.js'

/** Reads the text of a configuration as the platform keeps it. */
export interface IConfigurationDecoder {
  /** Throws `ConfigurationError` if the text is none. */
  decode (text: string): IMeshConfiguration
}

/** What the head of an endpoint's answer says. */
export interface IEndpointAnswerHead {
  /** Id of the request that is answered; undefined if the answer names none. */
  readonly requestId: string | undefined
  /** True if the endpoint states that it did not run the request. */
  readonly isNotExecuted: boolean
  /** True if another incarnation than the expected one answers; it did not run the request. */
  readonly isOtherIncarnation: boolean
  /** True if the answer bears the mark of an endpoint, without which a success is none. */
  readonly isSigned: boolean
}

/** Header fields towards callers and endpoints of the platform. */
export interface IMessageFormat {
  /** Id that the caller gave its attempt. */
  callerRequestId (headers: IncomingHttpHeaders): string | undefined
  /** Time that the caller waits; undefined if it does not tell. */
  callerPatience (headers: IncomingHttpHeaders): Milliseconds | undefined
  /** The fields of a caller's request that go on to the endpoint, names and values in turn. */
  forwardedFields (headers: IncomingHttpHeaders): readonly string[]
  /** The fields that the mesh itself adds for the endpoint. `expected`: the incarnation that is to run the request. */
  endpointFields (call: IMeshCall, expected: EndpointId, remaining: Milliseconds): readonly string[]
  readAnswerHead (status: number, headers: IncomingHttpHeaders): IEndpointAnswerHead
  /** Fields of an answer that the mesh itself gives to a caller. */
  refusalFields (requestId: string | undefined, retryAfter: Milliseconds | undefined): readonly string[]
}

/** The configuration in force at this node. */
export interface IConfigurationService {
  /** Undefined until the first one was learnt. */
  readonly current: RouteIndex | undefined
  /** Text of the configuration in force; empty before the first one. */
  readonly text: string
  readonly version: ConfigurationVersion
  /**
   * Applies the configuration if it is newer, whole or not at all. Returns true if it is in force now. `source`: the node that
   * sent it, or the store.
   */
  applyIfNewer (text: string, source: string, now: Timestamp): boolean
  readonly onReplaced: IEvent<RouteIndex>
}

/** The table of nodes as this node knows it. */
export interface INodeTable {
  /** Everything up to here is known; 0 before the first reading. */
  readonly position: StorePosition
  readonly nodes: ReadonlyMap<NodeName, IKnownNode>
  /** Endpoints of a service that take requests, also on nodes that cannot be reached now. */
  endpoints (service: ServiceName): readonly IMeshEndpoint[]
  apply (batch: IChangeBatch, now: Timestamp): void
  readonly onChanged: IEvent<IChangeBatch>
}

/** Keeps configuration and table of nodes current, by the store or by other nodes. */
export interface IViewService {
  /** True if the view was confirmed a moment ago. */
  readonly isCurrent: boolean
  /** The latest moment at which the configuration of this node is known to have been the newest; its start before the first one. */
  readonly confirmedAt: Timestamp
  /** Resolves once configuration and nodes are known. */
  readonly completed: Promise<void>
  /** Address of a node that may be asked for its view if nothing else answers. */
  suggestPeer (address: string): void
}

/** How an endpoint's report was taken. */
export type ReportOutcome = 'accepted' | 'outdated'

/** The endpoint beside this node. */
export interface ILocalEndpoint {
  readonly record: IEndpointRecord | undefined
  /** Takes what an earlier process of this node knew. */
  adopt (record: IEndpointRecord, now: Timestamp): void
  report (report: IEndpointReport, now: Timestamp): ReportOutcome
  /** The endpoint ends; it gets no request any more. */
  deregister (id: EndpointId, bornAt: number, now: Timestamp): ReportOutcome
  readonly onChanged: IEvent<IEndpointRecord>
}

/** Keeps this node's row in the table of nodes. */
export interface IRegistrationService {
  /** Resolves when the store holds what the node says now, or after `limit`. */
  waitUntilStored (limit: Milliseconds): Promise<boolean>
  /** Tells the others that this node stops. */
  markLeaving (): Promise<void>
}

/** What the platform and the endpoint ask of the node. */
export interface INodeControl {
  /** True while the node should be given callers. */
  readonly isReady: boolean
  /** The answer to the platform's question; a stop goes on once the platform knows of it. */
  answerReadiness (): boolean
  /** Resolves when the report may be acknowledged. */
  report (report: IEndpointReport): Promise<void>
  /** Resolves when the end of the endpoint may be acknowledged. */
  deregister (id: EndpointId, bornAt: number): Promise<void>
}

/** How long requests may take that come during a planned stop. */
export interface IStopBounds {
  /** The deadline of a request that could wait until `deadlineAt`; undefined if it must be refused, as it may outlast the stop. */
  deadlineOf (deadlineAt: Timestamp, now: Timestamp): Timestamp | undefined
}

/** Everything that depends on the platform on which the mesh runs. */
export interface IMeshAdapter {
  readonly decoder: IConfigurationDecoder
  readonly format: IMessageFormat
  /** Row in which the operator keeps the configuration. */
  readonly configurationRow: IRowReference
  createStore (client: PlatformHttpClient): ITableService & IChangeFeed
  /** Servers for the platform's questions and the endpoint's reports. */
  createControlPort (options: IControlPortOptions): IService
}

/** What the servers of an adapter need. */
export interface IControlPortOptions {
  readonly control: INodeControl
  readonly readyAddress: NetworkAddress
  readonly controlAddress: NetworkAddress
  readonly log: ILogService
}

/** Where this node runs and what it is called. */
export interface INodeIdentity {
  readonly name: NodeName
  readonly failureDomain: FailureDomain
  readonly region: Region
}

export const IConfigurationService = createServiceKey<IConfigurationService>('mesh.configuration')
export const IViewService = createServiceKey<IViewService>('mesh.view')
