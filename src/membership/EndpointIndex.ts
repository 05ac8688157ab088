/** Index of endpoints by service; only the arrays of services that changed are rebuilt. */
import { isDeadOrLeft } from './RecordOrder.js'
import type { NodeId, ServiceName } from '../common/Types.js'
import type { INodeRecord, IRoutableEndpoint } from './Types.js'

const NO_ENDPOINTS: readonly IRoutableEndpoint[] = Object.freeze([])

/** Nodes with endpoints of one service, and the cached array of its endpoints. */
interface IServiceEntry {
  readonly nodes: Set<NodeId>
  /** Undefined after a change, until the array is next requested. */
  endpoints: readonly IRoutableEndpoint[] | undefined
}

/** Dependencies of EndpointIndex. */
export interface IEndpointIndexOptions {
  readonly members: ReadonlyMap<NodeId, INodeRecord>
  /** Whether requests can currently be sent to the node. */
  readonly isReachable: (record: INodeRecord) => boolean
}

/** Returns immutable arrays; an array is replaced when a record with endpoints of its service changes. */
export class EndpointIndex {
  private readonly _entriesByService = new Map<ServiceName, IServiceEntry>()

  constructor (private readonly _options: IEndpointIndexOptions) {}

  /** Serving endpoints of a service. */
  public endpoints (service: ServiceName): readonly IRoutableEndpoint[] {
    const entry = this._entriesByService.get(service)
    if (entry === undefined) return NO_ENDPOINTS
    entry.endpoints ??= this._buildEndpoints(service, entry)
    return entry.endpoints
  }

  /** Replaces a record and adds the affected services to `changed`. */
  public replace (current: INodeRecord | undefined, record: INodeRecord | undefined, changed: Set<ServiceName>): void {
    for (const { service } of current?.endpoints ?? []) this._removeNode(service, (current as INodeRecord).id, changed)
    if (record === undefined || isDeadOrLeft(record.state)) return
    for (const { service } of record.endpoints) this._addNode(service, record.id, changed)
  }

  /** Discards all cached arrays after a change of reachability and returns all services. */
  public invalidate (): ReadonlySet<ServiceName> {
    for (const entry of this._entriesByService.values()) entry.endpoints = undefined
    return new Set(this._entriesByService.keys())
  }

  private _addNode (service: ServiceName, node: NodeId, changed: Set<ServiceName>): void {
    changed.add(service)
    const entry = this._entriesByService.get(service)
    if (entry === undefined) this._entriesByService.set(service, { nodes: new Set([node]), endpoints: undefined })
    else {
      entry.nodes.add(node)
      entry.endpoints = undefined
    }
  }

  private _removeNode (service: ServiceName, node: NodeId, changed: Set<ServiceName>): void {
    const entry = this._entriesByService.get(service)
    if (entry === undefined) return
    changed.add(service)
    entry.nodes.delete(node)
    entry.endpoints = undefined
    if (entry.nodes.size === 0) this._entriesByService.delete(service)
  }

  private _buildEndpoints (service: ServiceName, entry: IServiceEntry): readonly IRoutableEndpoint[] {
    const endpoints: IRoutableEndpoint[] = []
    for (const node of entry.nodes) {
      const record = this._options.members.get(node)
      if (record !== undefined) this._collectEndpoints(service, record, endpoints)
    }
    return Object.freeze(endpoints)
  }

  private _collectEndpoints (service: ServiceName, record: INodeRecord, endpoints: IRoutableEndpoint[]): void {
    const isReachable = this._options.isReachable(record)
    const { id: node, gateAddress, failureDomain, region } = record
    for (const endpoint of record.endpoints) {
      if (endpoint.service !== service || endpoint.state !== 'serving') continue
      endpoints.push(Object.freeze({ ...endpoint, node, gateAddress, failureDomain, region, isReachable }))
    }
  }
}
