/** In-process transactional table service, for a single machine and for tests. */
import { EmbeddedTable } from './EmbeddedTable.js'
import type { ITableService } from './Services.js'
import type { ICondition, IRow, IRowReference, IRowScan, IRowWrite, ITransaction, RowRevision, TableName, TransactionOutcome } from './Types.js'

/** Stores rows in memory. A transaction runs without yielding to the event loop, so transactions are serializable. */
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
    const failed = transaction.conditions.find((condition) => !this._isConditionMet(condition))
    if (failed !== undefined) return { isCommitted: false, failed }
    for (const write of transaction.writes) this._write(write)
    return { isCommitted: true }
  }

  private _isConditionMet (condition: ICondition): boolean {
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
    // One counter for all rows, so that a row that is deleted and created again never gets an earlier revision.
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
