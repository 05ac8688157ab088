/** What one node knows of configuration and nodes, with the positions up to which it is complete. */
import type { IRowReference, IChangeBatch, StorePosition } from '../../platform/Types.js'
import type { Timestamp } from '../../common/Types.js'
import type { IConfigurationService } from '../Services.js'
import type { NodeTable } from './NodeTable.js'

/** Parts of the view. */
export interface IViewStateOptions {
  readonly configuration: IConfigurationService
  readonly nodes: NodeTable
  /** Row that holds the configuration. */
  readonly configurationRow: IRowReference
}

/** Name of the store as a source of configurations, in the log. */
const STORE = 'store'

/** Takes batches of the store and updates of other nodes alike. */
export class ViewState {
  public readonly configuration: IConfigurationService
  public readonly nodes: NodeTable
  private _configurationPosition = 0 as StorePosition

  constructor (private readonly _options: IViewStateOptions) {
    this.configuration = _options.configuration
    this.nodes = _options.nodes
  }

  /** The newest configuration as of this position is in force here; 0 before the first reading. */
  public get configurationPosition (): StorePosition {
    return this._configurationPosition
  }

  /** True once both parts have been read. */
  public get isComplete (): boolean {
    return this.configuration.current !== undefined && this.nodes.position > 0
  }

  /** Takes changes of the table that holds the configuration. */
  public applyConfigurationBatch (batch: IChangeBatch, now: Timestamp): void {
    const row = batch.rows.findLast((candidate) => candidate.key === this._options.configurationRow.key)
    if (row?.value !== undefined) this.configuration.offer(row.value, STORE, now)
    this.advanceConfiguration(batch.position)
  }

  /** Everything up to `position` is known. */
  public advanceConfiguration (position: StorePosition): void {
    this._configurationPosition = Math.max(this._configurationPosition, position) as StorePosition
  }
}
