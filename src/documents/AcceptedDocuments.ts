/** Reads accepted documents from the platform. */
import { hashContent } from '../common/Ids.js'
import type { ChangeSequence, ContentHash, DocumentVersion, ServiceName } from '../common/Types.js'
import type { IObjectStore, ITableService } from '../platform/Services.js'
import type { IRow, RowKey } from '../platform/Types.js'
import type { IAcceptedDocuments, IAcceptedSet } from './Services.js'
import { CHANGE_SCHEMA, DOCUMENT_ROW_SCHEMA, HEAD_SCHEMA, decodeRow } from './store/Rows.js'
import {
  CHANGES_TABLE, DOCUMENTS_TABLE, FIRST_KEY, HEAD_ROW, VERSIONS_TABLE, changeKey, documentRow, textObject, versionKeys, versionRow
} from './store/Tables.js'
import type { IAcceptedChange } from './Types.js'

/** What the reading of accepted documents needs. */
export interface IAcceptedDocumentsOptions {
  readonly table: ITableService
  readonly objects: IObjectStore
}

/** Rows of one scan. */
const PAGE_ROWS = 500

/** Every method costs one read, `readAll` one for each 500 services and one more. */
export class AcceptedDocuments implements IAcceptedDocuments {
  private readonly _table: ITableService
  private readonly _objects: IObjectStore

  constructor (options: IAcceptedDocumentsOptions) {
    this._table = options.table
    this._objects = options.objects
  }

  public async changesAfter (after: ChangeSequence, limit: number): Promise<readonly IAcceptedChange[]> {
    const rows = await this._table.scan({ table: CHANGES_TABLE, fromKey: changeKey(after + 1), limit })
    return rows.map(decodeChange)
  }

  public async readAll (): Promise<IAcceptedSet> {
    // The head is read first: a version accepted meanwhile is then read again from the change log, which is harmless.
    const head = await this._table.read(HEAD_ROW)
    const sequence = head === undefined ? 0 as ChangeSequence : decodeRow(head, HEAD_SCHEMA).sequence
    const changes: IAcceptedChange[] = []
    let fromKey = FIRST_KEY
    for (;;) {
      const rows = await this._table.scan({ table: DOCUMENTS_TABLE, fromKey, limit: PAGE_ROWS })
      for (const row of rows) changes.push(decodeRow(row, DOCUMENT_ROW_SCHEMA).change)
      if (rows.length < PAGE_ROWS) return { sequence, changes }
      // '!' is below every character of a name.
      fromKey = `${rows[rows.length - 1].key}!` as RowKey
    }
  }

  public async readText (hash: ContentHash): Promise<string | undefined> {
    const stored = await this._objects.get(textObject(hash))
    if (stored === undefined || hashContent(stored.content) !== hash) return undefined
    return Buffer.from(stored.content).toString()
  }

  public async readNewest (service: ServiceName): Promise<IAcceptedChange | undefined> {
    const row = await this._table.read(documentRow(service))
    return row === undefined ? undefined : decodeRow(row, DOCUMENT_ROW_SCHEMA).change
  }

  public async readHistory (service: ServiceName, limit: number): Promise<readonly IAcceptedChange[]> {
    const rows = await this._table.scan({ table: VERSIONS_TABLE, ...versionKeys(service), limit })
    return rows.map(decodeChange)
  }

  public async readVersion (service: ServiceName, version: DocumentVersion): Promise<IAcceptedChange | undefined> {
    const row = await this._table.read(versionRow(service, version))
    return row === undefined ? undefined : decodeChange(row)
  }
}

function decodeChange (row: IRow): IAcceptedChange {
  return decodeRow(row, CHANGE_SCHEMA)
}
