/** In-memory table with rows ordered by key. */
import type { IRow, IRowScan, RowKey } from './Types.js'

/** Finds rows by key and by range. Keys must be ASCII, so that the order of strings is the order of their bytes. */
export class EmbeddedTable {
  private readonly _rows = new Map<RowKey, IRow>()
  private readonly _keys: RowKey[] = []

  public get (key: RowKey): IRow | undefined {
    return this._rows.get(key)
  }

  public set (row: IRow): void {
    if (!this._rows.has(row.key)) this._keys.splice(this._lowerBound(row.key), 0, row.key)
    this._rows.set(row.key, row)
  }

  public delete (key: RowKey): void {
    if (this._rows.delete(key)) this._keys.splice(this._lowerBound(key), 1)
  }

  public scan (scan: IRowScan): IRow[] {
    const rows: IRow[] = []
    for (let index = this._lowerBound(scan.fromKey); index < this._keys.length && rows.length < scan.limit; index++) {
      const row = this._rows.get(this._keys[index])
      if (row === undefined || (scan.beforeKey !== undefined && row.key >= scan.beforeKey)) break
      rows.push(row)
    }
    return rows
  }

  /** Binary search: index of the first key that is not less than `key`. */
  private _lowerBound (key: RowKey): number {
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
