/** Writes checkpoints of the accepted set and trims the changes that they cover from the change log. */
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

/** Interval of checkpoints and retention of the change log. */
export interface ICheckpointOptions {
  /** A checkpoint is written after each change whose sequence is a multiple of this number. */
  readonly interval: number
  /** Number of changes covered by the checkpoint that stay in the log, at least 1. */
  readonly retainedChanges: number
  /** Maximum number of rows of the log that one transaction removes. */
  readonly trimBatch: number
}

/** Defaults of `CheckpointService`. */
export const DEFAULT_CHECKPOINT_OPTIONS: ICheckpointOptions = Object.freeze({ interval: 64, retainedChanges: 1_000, trimBatch: 50 })

/** Dependencies of `CheckpointService`. */
export interface ICheckpointServices {
  readonly table: ITableService
  readonly objects: IObjectStore
  readonly log: ILogService
  /** Changes accepted by this process; the process that accepts a change for which a checkpoint is due writes the checkpoint. */
  readonly onAccepted: IEvent<IAcceptedChange>
}

type Texts = ReadonlyMap<ContentHash, string>

/**
 * Needs no lease or elected writer: the put is conditional on the checkpoint that was read, and only changes covered by a
 * checkpoint that was read or confirmed as written are trimmed, so concurrent writers and lost responses do no harm.
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
    this.register(services.onAccepted((change) => this._scheduleIfDue(change)))
  }

  /** Waits for a checkpoint that is being written. */
  public async stop (): Promise<void> {
    this.dispose()
    await this._running
  }

  /** Writes a checkpoint if there are changes after the current one, then trims the log. */
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

  private _scheduleIfDue (change: IAcceptedChange): void {
    if (change.sequence % this._options.interval !== 0) return
    this._running = this._running.then(async () => await this._tryWrite())
  }

  /** A failure is only logged: the next checkpoint covers the same changes. */
  private async _tryWrite (): Promise<void> {
    try {
      await this.write()
    } catch (error) {
      const origin = error instanceof SavoryknotError ? { step: error.step, peer: error.peer } : { step: 'documents.checkpoint' }
      this._services.log.log(CHECKPOINT_FAILED, { ...origin, reason: String(error) })
    }
  }

  /** Texts of all changes; those in the previous checkpoint are not read again. */
  private async _readTexts (changes: readonly IAcceptedChange[], known: Texts): Promise<Texts> {
    const texts = new Map<ContentHash, string>()
    for (const { hash, isTombstone } of changes) {
      if (isTombstone) continue
      const text = known.get(hash) ?? await this._accepted.readText(hash)
      // A missing text is left out; readers request it by its hash.
      if (text !== undefined) texts.set(hash, text)
    }
    return texts
  }

  /** Removes the rows of changes and of their submissions, the oldest first, except the last `retainedChanges` up to the checkpoint. */
  private async _trim (checkpointSequence: ChangeSequence): Promise<void> {
    const { retainedChanges, trimBatch } = this._options
    const beforeKey = changeKey(Math.max(0, checkpointSequence - retainedChanges + 1))
    const scan: IRowScan = { table: CHANGES_TABLE, fromKey: FIRST_KEY, beforeKey, limit: trimBatch }
    for (;;) {
      const rows = await this._services.table.scan(scan)
      if (rows.length === 0) return
      await this._services.table.transact({ conditions: [], writes: rows.flatMap(createRemovals) })
    }
  }
}

function createRemovals (row: IRow): IRowWrite[] {
  const { sequence, submission } = decodeRow(row, LOG_ROW_SCHEMA)
  return [changeRow(sequence), submissionRow(submission)]
}
