/** Time series of good and bad counts in a fixed amount of memory. */

/** Numbers of good and bad calls. */
export interface IBurnSum {
  readonly good: number
  readonly bad: number
}

/** Ring buffer of time slots of equal width; the oldest slot is reused for the newest. */
export class BurnRing {
  private readonly _good: Uint32Array
  private readonly _bad: Uint32Array
  /** Number of the newest slot, counted from the epoch. */
  private _newest = 0

  constructor (public readonly widthMs: number, private readonly _slots: number) {
    this._good = new Uint32Array(_slots)
    this._bad = new Uint32Array(_slots)
  }

  /** Counts one call. */
  public add (isGood: boolean, now: number): void {
    this._advance(now)
    const at = this._newest % this._slots
    const counts = isGood ? this._good : this._bad
    counts[at] = (counts[at] as number) + 1
  }

  /** Sums the newest slots that cover `windowMs`. */
  public sum (windowMs: number, now: number): IBurnSum {
    this._advance(now)
    const count = Math.min(this._slots, Math.ceil(windowMs / this.widthMs))
    let good = 0
    let bad = 0
    for (let back = 0; back < count && back <= this._newest; back++) {
      const at = (this._newest - back) % this._slots
      good += this._good[at] as number
      bad += this._bad[at] as number
    }
    return { good, bad }
  }

  private _advance (now: number): void {
    const current = Math.floor(now / this.widthMs)
    const first = Math.max(this._newest + 1, current - this._slots + 1)
    for (let number = first; number <= current; number++) {
      this._good[number % this._slots] = 0
      this._bad[number % this._slots] = 0
    }
    this._newest = Math.max(this._newest, current)
  }
}
