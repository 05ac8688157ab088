/** Writes checkpoints of the accepted set and trims the change log behind them. */
import { Disposable } from '../common/Disposable.js'
import type { ILogService } from '../common/Services.js'
import { SavoryknotError } from '../common/SavoryknotError.js'
import type { ChangeSequence, ContentHash, IEvent } from '../common/Types.js'
import type { IObjectStore, ITableService } from '../platform/Services.js'
import type { IRow, IRowScan, IRowWrite } from '../platform/Types.js'
import { AcceptedDocuments } from './AcceptedDocuments.js'
import { CHECKPOINT_FAILED, CHECKPOINT_WRITTEN } from './Events.js'
import type { CheckpointOutcome, ICheckpointService } from './Services.js'
import { CheckpointStore } from './store/CheckpointStore.js'
import { LOG_ROW_SCHEMA, decodeRow } from './store/Rows.js'
import { CHANGES_TABLE, FIRST_KEY, changeKey, changeRow, submissionRow } from './store/Tables.js'
import type { IAcceptedChange } from './Types.js'

/** How often checkpoints are written and how much of the log stays behind them. */
export interface ICheckpointOptions {
  /** A checkpoint follows each change whose sequence is a multiple of this. */
  readonly interval: number
  /** Changes that stay in the log behind the checkpoint, at least 1. */
  readonly retainedChanges: number
  /** Rows of the log that one transaction removes. */
  readonly trimBatch: number
}

/** Defaults of `CheckpointService`. */
export const DEFAULT_CHECKPOINT_OPTIONS: ICheckpointOptions = Object.freeze({ interval: 64, retainedChanges: 1_000, trimBatch: 50 })

/** What checkpoints need. */
export interface ICheckpointServices {
  readonly table: ITableService
  readonly objects: IObjectStore
  readonly log: ILogService
  /** Changes accepted by this process; whoever accepts a change that is due writes the checkpoint. */
  readonly onAccepted: IEvent<IAcceptedChange>
}

type Texts = ReadonlyMap<ContentHash, string>

/**
 * No role or lease decides who writes: the put is conditional on the checkpoint that was read, and only what a
 * checkpoint covers that was read or confirmed is trimmed, so two writers or a lost answer do no harm.
 */
export class CheckpointService extends Disposable implements ICheckpointService {
  private readonly _services: ICheckpointServices
  private readonly _options: ICheckpointOptions
  private readonly _accepted: AcceptedDocuments
  private readonly _checkpoints: CheckpointStore
  private _running: Promise<void> = Promise.resolve()

  constructor (services: ICheckpointServices, options: Partial<ICheckpointOptions> = {}) {
    super()
    this._services = services
    this._options = { ...DEFAULT_CHECKPOINT_OPTIONS, ...options }
    this._accepted = new AcceptedDocuments(services)
    this._checkpoints = new CheckpointStore(services.objects)
    this.register(services.onAccepted((change) => this._noteAccepted(change)))
  }

  /** Waits for a checkpoint that is being written. */
  public async stop (): Promise<void> {
    this.dispose()
    await this._running
  }

  /** Writes a checkpoint if there are changes after the present one, then trims the log. */
  public async write (): Promise<CheckpointOutcome> {
    const { expected, checkpoint } = await this._checkpoints.read()
    const { sequence, changes } = await this._accepted.readAll()
    if (checkpoint !== undefined && sequence <= checkpoint.sequence) {
      await this._trim(checkpoint.sequence)
      return 'up-to-date'
    }
    const texts = await this._readTexts(changes, checkpoint?.texts ?? new Map())
    if (!await this._checkpoints.write({ sequence, changes, texts }, expected)) return 'overtaken'
    this._services.log.log(CHECKPOINT_WRITTEN, { step: 'documents.checkpoint', sequence, services: changes.length })
    await this._trim(sequence)
    return 'written'
  }

  private _noteAccepted (change: IAcceptedChange): void {
    if (change.sequence % this._options.interval !== 0) return
    this._running = this._running.then(async () => await this._tryWrite())
  }

  /** A failed checkpoint is made up for by the next one. */
  private async _tryWrite (): Promise<void> {
    try {
      await this.write()
    } catch (error) {
      const origin = error instanceof SavoryknotError ? { step: error.step, peer: error.peer } : { step: 'documents.checkpoint' }
      this._services.log.log(CHECKPOINT_FAILED, { ...origin, reason: String(error) })
    }
  }

  /** Texts of all changes; those of the previous checkpoint are not read again. */
  private async _readTexts (changes: readonly IAcceptedChange[], known: Texts): Promise<Texts> {
    const texts = new Map<ContentHash, string>()
    for (const { hash, isTombstone } of changes) {
      if (isTombstone) continue
      const text = known.get(hash) ?? await this._accepted.readText(hash)
      // A text that is missing stays out; a reader asks for it by its hash.
      if (text !== undefined) texts.set(hash, text)
    }
    return texts
  }

  /** Removes rows of the log, and of the submissions in it, well behind `covered`, the oldest first. */
  private async _trim (covered: ChangeSequence): Promise<void> {
    const { retainedChanges, trimBatch } = this._options
    const beforeKey = changeKey(Math.max(0, covered - retainedChanges + 1))
    const scan: IRowScan = { table: CHANGES_TABLE, fromKey: FIRST_KEY, beforeKey, limit: trimBatch }
    for (;;) {
      const rows = await this._services.table.scan(scan)
      if (rows.length === 0) return
      await this._services.table.transact({ conditions: [], writes: rows.flatMap(removalOf) })
    }
  }
}

function removalOf (row: IRow): IRowWrite[] {
  const { sequence, submission } = decodeRow(row, LOG_ROW_SCHEMA)
  return [changeRow(sequence), submissionRow(submission)]
}
