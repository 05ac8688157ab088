/** Rows of one table in memory, ordered by key. */
import type { IRow, IRowScan, RowKey } from './Types.js'

/** Finds rows by key and by range. Keys are ASCII, so that string order is byte order. */
export class EmbeddedTable {
  private readonly _rows = new Map<RowKey, IRow>()
  private readonly _keys: RowKey[] = []

  public get (key: RowKey): IRow | undefined {
    return this._rows.get(key)
  }

  public set (row: IRow): void {
    if (!this._rows.has(row.key)) this._keys.splice(this._position(row.key), 0, row.key)
    this._rows.set(row.key, row)
  }

  public delete (key: RowKey): void {
    if (this._rows.delete(key)) this._keys.splice(this._position(key), 1)
  }

  public scan (scan: IRowScan): IRow[] {
    const rows: IRow[] = []
    for (let position = this._position(scan.fromKey); position < this._keys.length && rows.length < scan.limit; position++) {
      const row = this._rows.get(this._keys[position])
      if (row === undefined || (scan.beforeKey !== undefined && row.key >= scan.beforeKey)) break
      rows.push(row)
    }
    return rows
  }

  /** Position of the first key that is not below `key`. */
  private _position (key: RowKey): number {
    let low = 0
    let high = this._keys.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this._keys[middle] < key) low = middle + 1
      else high = middle
    }
    return low
  }
}
