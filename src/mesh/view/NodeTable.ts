/** The table of nodes as this node knows it. */
import { Emitter } from '../../common/Emitter.js'
import type { ILogService } from '../../common/Services.js'
import type { IEvent, NetworkAddress, ServiceName, Timestamp } from '../../common/Types.js'
import type { IChangeBatch, IChangedRow, RowKey, StorePosition } from '../../platform/Types.js'
import { NODE_ROW_CHANGED, NODE_ROW_IGNORED } from '../Events.js'
import type { INodeTable } from '../Services.js'
import type { IKnownNode, IMeshEndpoint, NodeName } from '../Types.js'
import { decodeNodeRow } from './NodeRowCodec.js'

/** What the table needs. */
export interface INodeTableOptions {
  readonly log: ILogService
}

const NO_ROWS: readonly IChangedRow[] = Object.freeze([])
const NO_ENDPOINTS: readonly IMeshEndpoint[] = Object.freeze([])

/** Of two states of a row the one with the later position holds, in whatever order they arrive. */
export class NodeTable implements INodeTable {
  private readonly _onChanged = new Emitter<IChangeBatch>()
  private readonly _rows = new Map<RowKey, IChangedRow>()
  private readonly _nodes = new Map<NodeName, IKnownNode>()
  private _present: ReadonlyMap<NodeName, IKnownNode> | undefined
  private _endpoints: ReadonlyMap<ServiceName, readonly IMeshEndpoint[]> | undefined
  private _position = 0 as StorePosition

  constructor (private readonly _options: INodeTableOptions) {}

  public get position (): StorePosition {
    return this._position
  }

  /** Without nodes whose address a later row has taken. */
  public get nodes (): ReadonlyMap<NodeName, IKnownNode> {
    this._present ??= this._withoutSuperseded()
    return this._present
  }

  /** Fires with the rows that changed. */
  public get onChanged (): IEvent<IChangeBatch> {
    return this._onChanged.event
  }

  public endpoints (service: ServiceName): readonly IMeshEndpoint[] {
    this._endpoints ??= indexEndpoints(this.nodes.values())
    return this._endpoints.get(service) ?? NO_ENDPOINTS
  }

  /** Row of one node as it was last written; undefined if there is none. */
  public row (key: RowKey): IChangedRow | undefined {
    const row = this._rows.get(key)
    return row?.value === undefined ? undefined : row
  }

  /** Rows that changed after `position`, deleted ones included. */
  public changedAfter (position: StorePosition): readonly IChangedRow[] {
    // Most heartbeats to followers come here, and have nothing to tell.
    if (position >= this._position) return NO_ROWS
    return [...this._rows.values()].filter((row) => row.position > position)
  }

  public apply (batch: IChangeBatch, now: Timestamp): void {
    const rows = batch.isWhole ? [...batch.rows, ...this._missingFrom(batch)] : batch.rows
    const changed = rows.filter((row) => this._take(row, now))
    this._position = Math.max(this._position, batch.position) as StorePosition
    if (changed.length === 0) return
    this._endpoints = undefined
    this._present = undefined
    this._onChanged.fire({ rows: changed, position: this._position, isWhole: false })
  }

  /** An address belongs to the node that wrote its row last. */
  private _withoutSuperseded (): ReadonlyMap<NodeName, IKnownNode> {
    const owners = new Map<NetworkAddress, IChangedRow>()
    for (const [name, node] of this._nodes) {
      const row = this._rows.get(name as string as RowKey)
      const owner = owners.get(node.gateAddress)
      if (row !== undefined && (owner === undefined || owner.position < row.position)) owners.set(node.gateAddress, row)
    }
    const present = [...this._nodes].filter(([name, node]) => owners.get(node.gateAddress)?.key === name as string)
    return new Map(present)
  }

  /** Rows that a whole reading lacks: they were deleted, at the latest at the moment of the reading. */
  private _missingFrom (batch: IChangeBatch): IChangedRow[] {
    const present = new Set(batch.rows.map((row) => row.key))
    const missing: IChangedRow[] = []
    for (const row of this._rows.values()) {
      if (row.value === undefined || present.has(row.key) || row.position > batch.position) continue
      missing.push({ key: row.key, position: batch.position })
    }
    return missing
  }

  /** Returns true if the row is news. */
  private _take (row: IChangedRow, now: Timestamp): boolean {
    const known = this._rows.get(row.key)
    if (known !== undefined && known.position >= row.position) return false
    this._rows.set(row.key, row)
    const name = row.key as string as NodeName
    const before = this._nodes.get(name)
    this._nodes.delete(name)
    if (row.value !== undefined) this._decode(name, row.value, now)
    this._logChange(row, before)
    return true
  }

  private _decode (name: NodeName, value: string, now: Timestamp): void {
    try {
      this._nodes.set(name, { ...decodeNodeRow(value), node: name, learntAt: now })
    } catch (error) {
      this._options.log.log(NODE_ROW_IGNORED, { step: 'nodes.decode', peer: name, reason: String(error) })
    }
  }

  private _logChange (row: IChangedRow, before: IKnownNode | undefined): void {
    const node = this._nodes.get(row.key as string as NodeName)
    this._options.log.log(NODE_ROW_CHANGED, {
      step: 'nodes.apply',
      peer: row.key,
      position: row.position,
      endpoint: node?.endpoint?.id,
      service: node?.endpoint?.service,
      phase: node?.endpoint?.phase,
      phaseBefore: before?.endpoint?.phase,
      isLeaving: node?.isLeaving
    })
  }
}

/** Endpoints that take requests, by service. */
function indexEndpoints (nodes: Iterable<IKnownNode>): ReadonlyMap<ServiceName, readonly IMeshEndpoint[]> {
  const index = new Map<ServiceName, IMeshEndpoint[]>()
  for (const node of nodes) {
    const { endpoint } = node
    if (endpoint === undefined || endpoint.phase !== 'serving' || node.isLeaving) continue
    const endpoints = index.get(endpoint.service) ?? []
    endpoints.push({ node, endpoint })
    index.set(endpoint.service, endpoints)
  }
  return index
}
