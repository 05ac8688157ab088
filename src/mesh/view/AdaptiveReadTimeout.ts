/** Timeout for reads of the store, adapted to its response times. */
import type { Milliseconds } from '../../common/Types.js'

/** Options of `AdaptiveReadTimeout`. */
export interface IAdaptiveReadTimeoutOptions {
  /** Minimum timeout. */
  readonly minimum: Milliseconds
  /** Maximum timeout. */
  readonly maximum: Milliseconds
  /** Timeout as a multiple of the average response time. */
  readonly factor: number
}

/** Defaults of `AdaptiveReadTimeout`. `maximum` tolerates a store that is slower than usual by two orders of magnitude. */
export const DEFAULT_ADAPTIVE_READ_TIMEOUT_OPTIONS: IAdaptiveReadTimeoutOptions = Object.freeze({
  minimum: 400 as Milliseconds, maximum: 2_500 as Milliseconds, factor: 6
})

/** Weight of the latest response time in the exponential moving average. */
const SMOOTHING_FACTOR = 0.3

/**
 * Follows the average response time, so that an unresponsive connection is detected soon, while a store that is slow for all
 * nodes is not treated as failed. Doubles after each timeout until the next response.
 */
export class AdaptiveReadTimeout {
  private readonly _options: IAdaptiveReadTimeoutOptions
  private _averageTime = 0
  private _doublings = 0

  constructor (options: Partial<IAdaptiveReadTimeoutOptions> = {}) {
    this._options = { ...DEFAULT_ADAPTIVE_READ_TIMEOUT_OPTIONS, ...options }
  }

  /** Timeout of the next read. */
  public get value (): Milliseconds {
    const { minimum, maximum, factor } = this._options
    return Math.round(Math.min(maximum, Math.max(minimum, this._averageTime * factor) * 2 ** this._doublings)) as Milliseconds
  }

  /** Records the time that a response took. */
  public recordResponse (duration: Milliseconds): void {
    this._averageTime = this._averageTime === 0 ? duration : this._averageTime + SMOOTHING_FACTOR * (duration - this._averageTime)
    this._doublings = 0
  }

  /** Records a read that timed out. */
  public recordTimeout (): void {
    if (this.value < this._options.maximum) this._doublings++
  }
}
