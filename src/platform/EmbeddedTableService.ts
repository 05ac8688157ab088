/** Transactional table service inside the process, for one machine and for tests. */
import { EmbeddedTable } from './EmbeddedTable.js'
import type { ITableService } from './Services.js'
import type { ICondition, IRow, IRowReference, IRowScan, IRowWrite, ITransaction, RowRevision, TableName, TransactionOutcome } from './Types.js'

/** Keeps rows in memory. A transaction runs in one turn of the event loop, which makes it serializable. */
export class EmbeddedTableService implements ITableService {
  private readonly _tables = new Map<TableName, EmbeddedTable>()
  private _writes = 0

  public async read (reference: IRowReference): Promise<IRow | undefined> {
    return this._table(reference.table).get(reference.key)
  }

  public async scan (scan: IRowScan): Promise<readonly IRow[]> {
    return this._table(scan.table).scan(scan)
  }

  public async transact (transaction: ITransaction): Promise<TransactionOutcome> {
    const failed = transaction.conditions.find((condition) => !this._holds(condition))
    if (failed !== undefined) return { isCommitted: false, failed }
    for (const write of transaction.writes) this._write(write)
    return { isCommitted: true }
  }

  private _holds (condition: ICondition): boolean {
    const row = this._table(condition.table).get(condition.key)
    if (condition.expected === 'absent') return row === undefined
    if (condition.expected === 'present') return row !== undefined
    return row?.revision === condition.expected
  }

  private _write (write: IRowWrite): void {
    const table = this._table(write.table)
    if (write.value === undefined) {
      table.delete(write.key)
      return
    }
    this._writes++
    // One counter for all rows, so that a row made again never gets a revision that it had before.
    table.set({ key: write.key, revision: String(this._writes) as RowRevision, value: write.value })
  }

  private _table (name: TableName): EmbeddedTable {
    let table = this._tables.get(name)
    if (table === undefined) {
      table = new EmbeddedTable()
      this._tables.set(name, table)
    }
    return table
  }
}
