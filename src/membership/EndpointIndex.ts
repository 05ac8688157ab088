/** Endpoints by service, rebuilt only for the services that changed. */
import { isGone } from './RecordOrder.js'
import type { NodeId, ServiceName } from '../common/Types.js'
import type { INodeRecord, IRoutableEndpoint } from './Types.js'

const NO_ENDPOINTS: readonly IRoutableEndpoint[] = Object.freeze([])

/** Nodes of one service, and its endpoints as long as nothing changed. */
interface IServiceEntry {
  readonly nodes: Set<NodeId>
  endpoints: readonly IRoutableEndpoint[] | undefined
}

/** What the index reads. */
export interface IEndpointIndexOptions {
  readonly members: ReadonlyMap<NodeId, INodeRecord>
  /** Whether the node can be called now. */
  readonly isReachable: (record: INodeRecord) => boolean
}

/** Gives immutable arrays; an array is replaced when a record of its service changes. */
export class EndpointIndex {
  private readonly _services = new Map<ServiceName, IServiceEntry>()

  constructor (private readonly _options: IEndpointIndexOptions) {}

  /** Endpoints that may get calls. */
  public endpoints (service: ServiceName): readonly IRoutableEndpoint[] {
    const entry = this._services.get(service)
    if (entry === undefined) return NO_ENDPOINTS
    entry.endpoints ??= this._build(service, entry)
    return entry.endpoints
  }

  /** Replaces a record; adds the services concerned to `changed`. */
  public replace (held: INodeRecord | undefined, record: INodeRecord | undefined, changed: Set<ServiceName>): void {
    for (const { service } of held?.endpoints ?? []) this._remove(service, (held as INodeRecord).id, changed)
    if (record === undefined || isGone(record.state)) return
    for (const { service } of record.endpoints) this._add(service, record.id, changed)
  }

  /** Forgets every array, as reachability changed; gives all services. */
  public invalidate (): ReadonlySet<ServiceName> {
    for (const entry of this._services.values()) entry.endpoints = undefined
    return new Set(this._services.keys())
  }

  private _add (service: ServiceName, node: NodeId, changed: Set<ServiceName>): void {
    changed.add(service)
    const entry = this._services.get(service)
    if (entry === undefined) this._services.set(service, { nodes: new Set([node]), endpoints: undefined })
    else {
      entry.nodes.add(node)
      entry.endpoints = undefined
    }
  }

  private _remove (service: ServiceName, node: NodeId, changed: Set<ServiceName>): void {
    const entry = this._services.get(service)
    if (entry === undefined) return
    changed.add(service)
    entry.nodes.delete(node)
    entry.endpoints = undefined
    if (entry.nodes.size === 0) this._services.delete(service)
  }

  private _build (service: ServiceName, entry: IServiceEntry): readonly IRoutableEndpoint[] {
    const endpoints: IRoutableEndpoint[] = []
    for (const node of entry.nodes) {
      const record = this._options.members.get(node)
      if (record !== undefined) this._collect(service, record, endpoints)
    }
    return Object.freeze(endpoints)
  }

  private _collect (service: ServiceName, record: INodeRecord, endpoints: IRoutableEndpoint[]): void {
    const isReachable = this._options.isReachable(record)
    const { id: node, gateAddress, failureDomain, region } = record
    for (const endpoint of record.endpoints) {
      if (endpoint.service !== service || endpoint.state !== 'serving') continue
      endpoints.push(Object.freeze({ ...endpoint, node, gateAddress, failureDomain, region, isReachable }))
    }
  }
}
