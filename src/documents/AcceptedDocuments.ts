/** Reads accepted documents from the platform. */
import { hashContent } from '../common/Ids.js'
import type { ILogService } from '../common/Services.js'
import type { ChangeSequence, ContentHash, DocumentVersion, ServiceName } from '../common/Types.js'
import type { IObjectStore, ITableService } from '../platform/Services.js'
import type { IRow, RowKey } from '../platform/Types.js'
import { CHECKPOINT_UNREADABLE } from './Events.js'
import type { IAcceptedDocuments, IAcceptedSet } from './Services.js'
import type { ICheckpoint } from './store/CheckpointCodec.js'
import { CheckpointStore } from './store/CheckpointStore.js'
import { CHANGE_SCHEMA, DOCUMENT_ROW_SCHEMA, HEAD_SCHEMA, decodeRow } from './store/Rows.js'
import {
  CHANGES_TABLE, DOCUMENTS_TABLE, FIRST_KEY, HEAD_ROW, VERSIONS_TABLE, changeKey, documentRow, textObjectKey, versionKeyRange, versionRow
} from './store/Tables.js'
import type { IAcceptedChange } from './Types.js'

/** Dependencies of `AcceptedDocuments`. */
export interface IAcceptedDocumentsOptions {
  readonly table: ITableService
  readonly objects: IObjectStore
  /** Receives an event if the checkpoint is damaged. */
  readonly log?: ILogService
}

/** Maximum number of rows that one scan reads. */
const PAGE_ROWS = 500

/** Each method costs one read, except `readAll`, and `changesAfter` if it starts in the trimmed part of the change log. */
export class AcceptedDocuments implements IAcceptedDocuments {
  private readonly _table: ITableService
  private readonly _objects: IObjectStore
  private readonly _checkpoints: CheckpointStore
  private readonly _log: ILogService | undefined

  constructor (options: IAcceptedDocumentsOptions) {
    this._table = options.table
    this._objects = options.objects
    this._checkpoints = new CheckpointStore(options.objects)
    this._log = options.log
  }

  public async changesAfter (after: ChangeSequence, limit: number): Promise<readonly IAcceptedChange[]> {
    const changes = await this._scanLog(after, limit)
    if (isContiguous(changes, after)) return changes
    const { changes: newest } = await this.readAll()
    return newest.filter(({ sequence }) => sequence > after).sort(bySequence).slice(0, limit)
  }

  /** Reads the checkpoint and the change log after it, or the rows of all services if there is no usable checkpoint. */
  public async readAll (): Promise<IAcceptedSet> {
    const { checkpoint, isUnreadable } = await this._checkpoints.read()
    if (isUnreadable) this._log?.log(CHECKPOINT_UNREADABLE, { step: 'documents.read-all', peer: 'object store' })
    const set = checkpoint === undefined ? undefined : await this._readSince(checkpoint)
    return set ?? await this.readTable()
  }

  /** Reads the accepted set from the rows of the services; costs one read for each 500 services and one more. */
  public async readTable (): Promise<IAcceptedSet> {
    // The head is read first: a version accepted during the scan is then read again from the change log, which is harmless.
    const head = await this._table.read(HEAD_ROW)
    const sequence = head === undefined ? 0 as ChangeSequence : decodeRow(head, HEAD_SCHEMA).sequence
    const changes: IAcceptedChange[] = []
    let fromKey = FIRST_KEY
    for (;;) {
      const rows = await this._table.scan({ table: DOCUMENTS_TABLE, fromKey, limit: PAGE_ROWS })
      for (const row of rows) changes.push(decodeRow(row, DOCUMENT_ROW_SCHEMA).change)
      if (rows.length < PAGE_ROWS) return { sequence, changes }
      // The next page starts after the last row: '!' sorts before every character of a name.
      fromKey = `${rows[rows.length - 1].key}!` as RowKey
    }
  }

  public async readText (hash: ContentHash): Promise<string | undefined> {
    const stored = await this._objects.get(textObjectKey(hash))
    if (stored === undefined || hashContent(stored.content) !== hash) return undefined
    return Buffer.from(stored.content).toString()
  }

  public async readNewest (service: ServiceName): Promise<IAcceptedChange | undefined> {
    const row = await this._table.read(documentRow(service))
    return row === undefined ? undefined : decodeRow(row, DOCUMENT_ROW_SCHEMA).change
  }

  public async readHistory (service: ServiceName, limit: number): Promise<readonly IAcceptedChange[]> {
    const rows = await this._table.scan({ table: VERSIONS_TABLE, ...versionKeyRange(service), limit })
    return rows.map(decodeChange)
  }

  public async readVersion (service: ServiceName, version: DocumentVersion): Promise<IAcceptedChange | undefined> {
    const row = await this._table.read(versionRow(service, version))
    return row === undefined ? undefined : decodeChange(row)
  }

  private async _scanLog (after: ChangeSequence, limit: number): Promise<IAcceptedChange[]> {
    const rows = await this._table.scan({ table: CHANGES_TABLE, fromKey: changeKey(after + 1), limit })
    return rows.map(decodeChange)
  }

  /** Applies the later changes of the log to the checkpoint; undefined if some of them have already been trimmed. */
  private async _readSince (checkpoint: ICheckpoint): Promise<IAcceptedSet | undefined> {
    const newest = new Map(checkpoint.changes.map((change) => [change.service, change]))
    let { sequence } = checkpoint
    for (;;) {
      const changes = await this._scanLog(sequence, PAGE_ROWS)
      if (!isContiguous(changes, sequence)) return undefined
      for (const change of changes) newest.set(change.service, change)
      sequence = changes[changes.length - 1]?.sequence ?? sequence
      if (changes.length < PAGE_ROWS) return { sequence, changes: [...newest.values()], texts: checkpoint.texts }
    }
  }
}

function decodeChange (row: IRow): IAcceptedChange {
  return decodeRow(row, CHANGE_SCHEMA)
}

/** False if changes after `after` are missing from the log. */
function isContiguous (changes: readonly IAcceptedChange[], after: ChangeSequence): boolean {
  return changes.every(({ sequence }, position) => sequence === after + 1 + position)
}

function bySequence (left: IAcceptedChange, right: IAcceptedChange): number {
  return left.sequence - right.sequence
}
