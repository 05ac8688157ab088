/** This node's copy of the node table. */
import { Emitter } from '../../common/Emitter.js'
import type { ILogService } from '../../common/Services.js'
import type { IEvent, NetworkAddress, ServiceName, Timestamp } from '../../common/Types.js'
import type { IChangeBatch, IChangedRow, RowKey, StorePosition } from '../../platform/Types.js'
import { CRASH_REPORT_IGNORED, NODE_ROW_CHANGED, NODE_ROW_IGNORED } from '../Events.js'
import type { INodeTable } from '../Services.js'
import type { IKnownNode, IMeshEndpoint, NodeName } from '../Types.js'
import { decodeNodeRow } from './NodeRowCodec.js'

/** Names of services. */
type ServiceSet = Pick<ReadonlySet<ServiceName>, 'has'>

/** Dependencies of `NodeTable`. */
export interface INodeTableOptions {
  readonly log: ILogService
  /** Services of the configuration in force; returns undefined while none is known. */
  readonly services?: () => ServiceSet | undefined
}

const NO_ROWS: readonly IChangedRow[] = Object.freeze([])
const NO_ENDPOINTS: readonly IMeshEndpoint[] = Object.freeze([])

/** State of a node, and the position of the row that contains it. */
interface INodeState {
  readonly node: IKnownNode
  readonly position: StorePosition
}

/**
 * Updates may arrive out of order: of two states of a row the one with the later position wins. A row that cannot be read is possibly not
 * from the node with its name: the state before stays in use. The same holds for a row with an endpoint of a service that the
 * configuration does not contain, if the state before has an endpoint of a service that it contains. Any other row replaces the state, and
 * the deletion of the row removes it.
 */
export class NodeTable implements INodeTable {
  private readonly _onChanged = new Emitter<IChangeBatch>()
  private readonly _rows = new Map<RowKey, IChangedRow>()
  /** Latest valid state of each node. */
  private readonly _states = new Map<NodeName, INodeState>()
  /** Latest state with an endpoint of a known service, for nodes for which `_states` has a later one with an unknown service. */
  private readonly _earlierStates = new Map<NodeName, INodeState>()
  private _currentNodes: ReadonlyMap<NodeName, IKnownNode> | undefined
  private _endpoints: ReadonlyMap<ServiceName, readonly IMeshEndpoint[]> | undefined
  /** Services for which `_currentNodes` and `_endpoints` were computed. */
  private _services: ServiceSet | undefined
  private _position = 0 as StorePosition

  constructor (private readonly _options: INodeTableOptions) {}

  public get position (): StorePosition {
    return this._position
  }

  /**
   * All nodes, except those whose gate address appears in the later row of another node. A row with an endpoint of a service that the
   * configuration does not contain hides no other node.
   */
  public get nodes (): ReadonlyMap<NodeName, IKnownNode> {
    this._updateServices()
    this._currentNodes ??= this._selectAddressOwners()
    return this._currentNodes
  }

  /** Fires with the changed rows after a batch was applied. */
  public get onChanged (): IEvent<IChangeBatch> {
    return this._onChanged.event
  }

  public endpoints (service: ServiceName): readonly IMeshEndpoint[] {
    this._updateServices()
    this._endpoints ??= indexEndpoints(this.nodes.values())
    return this._endpoints.get(service) ?? NO_ENDPOINTS
  }

  /** The state in use of a node, even if its gate address appears in the later row of another node. */
  public node (name: NodeName): IKnownNode | undefined {
    this._updateServices()
    return this._stateOf(name)?.node
  }

  /** The state of a node that `row` contains; undefined if it is not the state in use. */
  public nodeIn ({ key, position }: IChangedRow): IKnownNode | undefined {
    this._updateServices()
    const state = this._stateOf(key as string as NodeName)
    return state?.position === position ? state.node : undefined
  }

  /** Latest state of a row; undefined if there is none or it was deleted. */
  public row (key: RowKey): IChangedRow | undefined {
    const row = this._rows.get(key)
    return row?.value === undefined ? undefined : row
  }

  /** Rows that changed after `position`, deleted ones included. */
  public changedAfter (position: StorePosition): readonly IChangedRow[] {
    // Fast path: most calls come from heartbeats to followers, which have no changes to send.
    if (position >= this._position) return NO_ROWS
    return [...this._rows.values()].filter((row) => row.position > position)
  }

  public apply (batch: IChangeBatch, now: Timestamp): void {
    const rows = batch.isWhole ? [...batch.rows, ...this._deletionsImpliedBy(batch)] : batch.rows
    const changed = rows.filter((row) => this._applyRow(row, now))
    this._position = Math.max(this._position, batch.position) as StorePosition
    if (changed.length === 0) return
    this._forgetComputed()
    this._onChanged.fire({ rows: changed, position: this._position, isWhole: false })
  }

  /** Drops what was computed with the services of an earlier configuration. */
  private _updateServices (): void {
    const services = this._options.services?.()
    if (services === this._services) return
    this._services = services
    this._forgetComputed()
  }

  private _forgetComputed (): void {
    this._endpoints = undefined
    this._currentNodes = undefined
  }

  /** True unless the row of the node names an endpoint of a service that the configuration does not contain. */
  private _hasUsableService ({ endpoint }: IKnownNode): boolean {
    return endpoint === undefined || this._services === undefined || this._services.has(endpoint.service)
  }

  /** The state of a node that is in use. */
  private _stateOf (name: NodeName): INodeState | undefined {
    const state = this._states.get(name)
    return state === undefined || this._hasUsableService(state.node) ? state : this._earlierStates.get(name) ?? state
  }

  /**
   * Keeps, of the nodes with the same gate address, only the one whose row was written last. A row without a usable service is possibly
   * not from a node, and must not hide one: it is left out of this comparison, and hidden only by a later row.
   */
  private _selectAddressOwners (): ReadonlyMap<NodeName, IKnownNode> {
    const states = [...this._states].map(([name, state]) => this._stateOf(name) ?? state)
    const latest = new Map<NetworkAddress, StorePosition>()
    for (const { node, position } of states) {
      if (!this._hasUsableService(node)) continue
      latest.set(node.gateAddress, Math.max(latest.get(node.gateAddress) ?? 0, position) as StorePosition)
    }
    const owners = states.filter(({ node, position }) => position >= (latest.get(node.gateAddress) ?? 0))
    return new Map(owners.map(({ node }) => [node.node, node]))
  }

  /** Deletions of rows that are missing from a read of the complete table: they were deleted before the read or at the same moment. */
  private _deletionsImpliedBy (batch: IChangeBatch): IChangedRow[] {
    const presentKeys = new Set(batch.rows.map((row) => row.key))
    const missing: IChangedRow[] = []
    for (const row of this._rows.values()) {
      if (row.value === undefined || presentKeys.has(row.key) || row.position > batch.position) continue
      missing.push({ key: row.key, position: batch.position })
    }
    return missing
  }

  /** Returns true if the row is newer than the stored one. */
  private _applyRow (row: IChangedRow, now: Timestamp): boolean {
    const known = this._rows.get(row.key)
    if (known !== undefined && known.position >= row.position) return false
    this._rows.set(row.key, row)
    const name = row.key as string as NodeName
    const before = this.node(name)
    if (row.value === undefined) this._forgetNode(name)
    else this._decode(row, row.value, now)
    this._logChange(row, before)
    return true
  }

  private _forgetNode (name: NodeName): void {
    this._states.delete(name)
    this._earlierStates.delete(name)
  }

  private _decode ({ key, position }: IChangedRow, value: string, now: Timestamp): void {
    const name = key as string as NodeName
    const { log } = this._options
    try {
      const { row, ignoredCrashes } = decodeNodeRow(value, name)
      this._setState(name, { node: { ...row, learntAt: now }, position })
      if (ignoredCrashes > 0) log.log(CRASH_REPORT_IGNORED, { step: 'nodes.decode', peer: name, entries: ignoredCrashes })
    } catch (error) {
      log.log(NODE_ROW_IGNORED, { step: 'nodes.decode', peer: name, reason: String(error) })
    }
  }

  private _setState (name: NodeName, state: INodeState): void {
    const previous = this._stateOf(name)
    this._states.set(name, state)
    if (this._hasUsableService(state.node)) {
      this._earlierStates.delete(name)
      return
    }
    const reason = `service ${state.node.endpoint?.service} is not in the configuration`
    this._options.log.log(NODE_ROW_IGNORED, { step: 'nodes.decode', peer: name, reason })
    if (previous?.node.endpoint !== undefined && this._hasUsableService(previous.node)) this._earlierStates.set(name, previous)
  }

  private _logChange (row: IChangedRow, before: IKnownNode | undefined): void {
    const node = this.node(row.key as string as NodeName)
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

/** Endpoints that accept requests, by service. */
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
