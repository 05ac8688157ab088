/** View of one node: configuration and node table, each with the position of the store up to which it is complete. */
import type { IRowReference, IChangeBatch, StorePosition } from '../../platform/Types.js'
import type { Timestamp } from '../../common/Types.js'
import type { IConfigurationService } from '../Services.js'
import type { NodeTable } from './NodeTable.js'

/** Parts of the view of a node. */
export interface IViewStateOptions {
  readonly configuration: IConfigurationService
  readonly nodes: NodeTable
  /** Row that contains the configuration. */
  readonly configurationRow: IRowReference
}

/** Source of a configuration that was read from the store, in the log. */
const STORE = 'store'

/** Updated with batches read from the store and with updates from other nodes. */
export class ViewState {
  public readonly configuration: IConfigurationService
  public readonly nodes: NodeTable
  private _configurationPosition = 0 as StorePosition
  private _hasReadNodes = false

  constructor (private readonly _options: IViewStateOptions) {
    this.configuration = _options.configuration
    this.nodes = _options.nodes
  }

  /** Position of the store up to which the active configuration is the newest; 0 before the first read. */
  public get configurationPosition (): StorePosition {
    return this._configurationPosition
  }

  /** True once a configuration is active and the node table was read. */
  public get isComplete (): boolean {
    return this.configuration.current !== undefined && (this._hasReadNodes || this.nodes.position > 0)
  }

  /** Applies changes of the node table that were read from the store. An empty store has position 0, but was read. */
  public applyNodesBatch (batch: IChangeBatch, now: Timestamp): void {
    this._hasReadNodes = true
    this.nodes.apply(batch, now)
  }

  /** Applies changes of the table that contains the configuration. */
  public applyConfigurationBatch (batch: IChangeBatch, now: Timestamp): void {
    const row = batch.rows.findLast((candidate) => candidate.key === this._options.configurationRow.key)
    if (row?.value !== undefined) this.configuration.applyIfNewer(row.value, STORE, now)
    this.advanceConfigurationPosition(batch.position)
  }

  /** Records that all changes of the configuration up to `position` are known. */
  public advanceConfigurationPosition (position: StorePosition): void {
    this._configurationPosition = Math.max(this._configurationPosition, position) as StorePosition
  }
}
