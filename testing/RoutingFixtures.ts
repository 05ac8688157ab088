/** Documents, endpoints, requests and response sinks for tests and benchmarks of the router. */
import type { IncomingHttpHeaders } from 'node:http'
import { Emitter } from '../src/common/Emitter.js'
import type {
  ContentHash, DocumentVersion, EndpointId, FailureDomain, IEvent, Milliseconds, NetworkAddress, NodeId, Region, ResourceName, RouteName,
  ServiceName, TeamName, Timestamp
} from '../src/common/Types.js'
import type {
  IActiveDocument, ILimitResource, IPoolResource, IResourceReference, IRetryResource, IRoute, ISnapshot, Resource
} from '../src/documents/Types.js'
import type { IAnswerSink } from '../src/gate/Types.js'
import type { IMembershipService } from '../src/membership/Services.js'
import type { INodeRecord, IRoutableEndpoint } from '../src/membership/Types.js'
import type { IInboundRequest } from '../src/routing/Services.js'

export const SERVICE = 'status' as ServiceName
export const POOL: IPoolResource = Object.freeze({
  kind: 'pool',
  name: 'endpoints' as ResourceName,
  isExported: true,
  slots: 9,
  connections: 110,
  queue: 18,
  queueTimeout: 200 as Milliseconds,
  slowStart: 0 as Milliseconds,
  balancing: 'two-choices',
  spillAt: 80,
  ejectionCeiling: 34,
  healthPath: '/health',
  healthInterval: 2_000 as Milliseconds
})
export const RETRY: IRetryResource = Object.freeze({
  kind: 'retry', name: 'reads' as ResourceName, isExported: false, attempts: 3, budget: 20, backoff: 5 as Milliseconds, backoffLimit: 20 as Milliseconds
})
export const LIMIT: ILimitResource = Object.freeze({
  kind: 'limit', name: 'sizes' as ResourceName, isExported: false, requestBytes: 1_000, responseBytes: 10_000, rate: 0
})

/** Creates a reference to a resource, by default of the service under test. */
export function reference (resource: string, service: string = SERVICE): IResourceReference {
  return { service: service as ServiceName, resource: resource as ResourceName }
}

/** Creates an idempotent route to the pool `POOL` with the retry rule `RETRY`. */
export function createRoute (overrides: Partial<IRoute> = {}): IRoute {
  return {
    name: 'read' as RouteName,
    method: 'GET',
    path: '/status/**',
    target: reference('endpoints'),
    retry: reference('reads'),
    repeat: 'idempotent',
    class: 'normal',
    deadline: 800 as Milliseconds,
    ...overrides
  }
}

/** Creates an active document. */
export function createActiveDocument (
  routes: readonly IRoute[], resources: readonly Resource[] = [POOL, RETRY, LIMIT], version = 1
): IActiveDocument {
  return {
    service: SERVICE,
    version: version as DocumentVersion,
    hash: '0'.repeat(64) as ContentHash,
    isTombstone: false,
    text: '',
    document: {
      format: 1,
      service: SERVICE,
      owner: 'permits' as TeamName,
      resources,
      routes,
      stop: { drainGrace: 1_000 as Milliseconds },
      objective: { availability: 99.9, latency: 250 as Milliseconds, window: 2_592_000_000 as Milliseconds }
    }
  }
}

/** Creates a snapshot of the given documents. */
export function createSnapshot (...documents: readonly IActiveDocument[]): ISnapshot {
  const byName = new Map(documents.map((active) => [active.service, active]))
  return {
    documents: byName,
    resource: ({ service, resource }) => byName.get(service)?.document?.resources.find((candidate) => candidate.name === resource)
  }
}

/** Creates a serving endpoint. */
export function createEndpoint (
  id: string, domainAndRegion: readonly [string, string] = ['north', 'east'], overrides: Partial<IRoutableEndpoint> = {}
): IRoutableEndpoint {
  return {
    id: id as EndpointId,
    service: SERVICE,
    state: 'serving',
    slots: 9,
    since: 0 as Timestamp,
    node: `node-${id}` as NodeId,
    failureDomain: domainAndRegion[0] as FailureDomain,
    region: domainAndRegion[1] as Region,
    gateAddress: '127.0.0.1:1' as NetworkAddress,
    isReachable: true,
    ...overrides
  }
}

/** Member view whose endpoints are set by the test. */
export class FakeMembership implements Pick<IMembershipService, 'endpoints' | 'onEndpointsChanged' | 'members'> {
  private readonly _changed = new Emitter<ReadonlySet<ServiceName>>()
  public readonly onEndpointsChanged: IEvent<ReadonlySet<ServiceName>> = this._changed.event
  public readonly members = new Map<NodeId, INodeRecord>()
  private readonly _byService = new Map<ServiceName, readonly IRoutableEndpoint[]>()

  constructor (endpoints: readonly IRoutableEndpoint[] = []) {
    this._byService.set(SERVICE, endpoints)
  }

  public endpoints (service: ServiceName): readonly IRoutableEndpoint[] {
    return this._byService.get(service) ?? []
  }

  /** Replaces the endpoints of a service. */
  public set (endpoints: readonly IRoutableEndpoint[], service: ServiceName = SERVICE): void {
    this._byService.set(service, endpoints)
    this._changed.fire(new Set([service]))
  }
}

/** A request whose caller can disconnect. */
export class FakeRequest implements IInboundRequest {
  private readonly _cancelled = new Emitter<void>()
  public readonly onCancelled: IEvent<void> = this._cancelled.event
  public isCancelled = false
  public readonly service = SERVICE
  public readonly body: IInboundRequest['body']
  public readonly bodyBytes: number | undefined

  constructor (
    public readonly method = 'GET', public readonly path = '/status/1', public readonly headers: IncomingHttpHeaders = {},
    body?: IInboundRequest['body'], bodyBytes?: number
  ) {
    this.body = body
    this.bodyBytes = bodyBytes
  }

  public cancel (): void {
    this.isCancelled = true
    this._cancelled.fire()
  }
}

/** Stores a response for assertions. */
export class RecordingSink implements IAnswerSink {
  private readonly _drained = new Emitter<void>()
  public readonly onDrained: IEvent<void> = this._drained.event
  public status: number | undefined
  public headers: IncomingHttpHeaders = {}
  public text = ''
  public ending: 'none' | 'whole' | 'broken' = 'none'

  public get hasBegun (): boolean {
    return this.status !== undefined
  }

  public begin (status: number, headers: IncomingHttpHeaders): void {
    this.status = status
    this.headers = headers
  }

  public write (chunk: Uint8Array): boolean {
    this.text += Buffer.from(chunk).toString()
    return true
  }

  public end (): void {
    this.ending = 'whole'
  }

  public abort (): void {
    this.ending = 'broken'
  }
}
