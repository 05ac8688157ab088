/** Slots of one endpoint; a slot is the capacity for one concurrent request. */

/** Counts running requests. An isolated request occupies all slots. */
export class SlotCounter {
  private _slots = 0
  private _used = 0
  private _isIsolated = false

  /** Maximum number of concurrent requests. */
  public get slots (): number {
    return this._slots
  }

  /** Number of running requests. */
  public get used (): number {
    return this._used
  }

  /** Changes the number of slots; running requests are not affected. */
  public resize (slots: number): void {
    this._slots = slots
  }

  /** True if `acquire` would succeed. */
  public isFree (isIsolated: boolean): boolean {
    if (this._isIsolated) return false
    return isIsolated ? this._used === 0 && this._slots > 0 : this._used < this._slots
  }

  /** Acquires one slot, or all slots for an isolated request; false if they are not free. */
  public acquire (isIsolated: boolean): boolean {
    if (!this.isFree(isIsolated)) return false
    this._used++
    this._isIsolated = isIsolated
    return true
  }

  /** Releases the slots of one `acquire` call. */
  public release (): void {
    this._used--
    this._isIsolated = false
  }
}
