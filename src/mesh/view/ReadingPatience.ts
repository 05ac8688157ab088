/** How long a reading of the store may take before it counts as lost. */
import type { Milliseconds } from '../../common/Types.js'

/** Bounds of the patience. */
export interface IReadingPatienceOptions {
  /** Least time allowed for an answer. */
  readonly least: Milliseconds
  /** Most time allowed for an answer. */
  readonly most: Milliseconds
  /** Multiple of the usual time of an answer. */
  readonly factor: number
}

/** Defaults of `ReadingPatience`. `most` bears a store that is slower by two orders of magnitude than usual. */
export const DEFAULT_READING_PATIENCE_OPTIONS: IReadingPatienceOptions = Object.freeze({
  least: 400 as Milliseconds, most: 2_500 as Milliseconds, factor: 6
})

/** Weight of the newest answer in the moving average. */
const NEWEST_WEIGHT = 0.3

/**
 * Follows the time of answers, so that a connection that fell silent is noticed soon while a store that
 * is slow for everybody is still waited for.
 */
export class ReadingPatience {
  private readonly _options: IReadingPatienceOptions
  private _usual = 0
  private _doublings = 0

  constructor (options: Partial<IReadingPatienceOptions> = {}) {
    this._options = { ...DEFAULT_READING_PATIENCE_OPTIONS, ...options }
  }

  /** Time allowed for the next answer. */
  public get value (): Milliseconds {
    const { least, most, factor } = this._options
    return Math.round(Math.min(most, Math.max(least, this._usual * factor) * 2 ** this._doublings)) as Milliseconds
  }

  /** Takes the time of an answer. */
  public recordAnswer (duration: Milliseconds): void {
    this._usual = this._usual === 0 ? duration : this._usual + NEWEST_WEIGHT * (duration - this._usual)
    this._doublings = 0
  }

  /** Takes an answer that did not come in time. */
  public recordTimeout (): void {
    if (this.value < this._options.most) this._doublings++
  }
}
