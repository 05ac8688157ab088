/** Slots of one endpoint. */

/** Counts the requests that run; an isolated request takes every slot. */
export class SlotCounter {
  private _slots = 0
  private _used = 0
  private _isIsolated = false

  /** Requests that may run at the same time. */
  public get slots (): number {
    return this._slots
  }

  /** Requests that run at present. */
  public get used (): number {
    return this._used
  }

  /** Changes the number of slots; requests that run are not affected. */
  public resize (slots: number): void {
    this._slots = slots
  }

  /** True if `take` would succeed. */
  public isFree (isIsolated: boolean): boolean {
    if (this._isIsolated) return false
    return isIsolated ? this._used === 0 && this._slots > 0 : this._used < this._slots
  }

  /** Takes a slot, or all of them; false if that is not possible now. */
  public take (isIsolated: boolean): boolean {
    if (!this.isFree(isIsolated)) return false
    this._used++
    this._isIsolated = isIsolated
    return true
  }

  /** Gives back what one `take` took. */
  public give (): void {
    this._used--
    this._isIsolated = false
  }
}
