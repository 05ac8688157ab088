/** Aborts a request whose response does not start, continue or finish in time. */
import type { IClockService } from '../common/Services.js'
import type { IDisposable, Milliseconds, Timestamp } from '../common/Types.js'

/** Time limits of one response. */
export interface IResponseLimits {
  /** Time from the request until the response headers arrive. */
  readonly start: Milliseconds
  /** Time between two chunks of the response. */
  readonly idle: Milliseconds
  /** Time for the complete request and response. */
  readonly total: Milliseconds
}

/** Timer that restarts with each chunk of the response. */
export class ResponseTimeout implements IDisposable {
  private readonly _controller = new AbortController()
  private readonly _deadline: Timestamp
  private _timer: IDisposable

  constructor (private readonly _clock: IClockService, private readonly _limits: IResponseLimits) {
    this._deadline = _clock.now() + _limits.total as Timestamp
    this._timer = this._startTimer(_limits.start, 'response did not start in time')
  }

  /** Aborted when a limit is exceeded. */
  public get signal (): AbortSignal {
    return this._controller.signal
  }

  /** Restarts the timer when the response headers or a chunk arrived. */
  public recordChunk (): void {
    this._timer.dispose()
    this._timer = this._startTimer(this._limits.idle, 'response did not continue in time')
  }

  public dispose (): void {
    this._timer.dispose()
  }

  private _startTimer (limit: Milliseconds, reason: string): IDisposable {
    const left = Math.max(0, Math.min(limit, this._deadline - this._clock.now())) as Milliseconds
    return this._clock.after(left, () => this._controller.abort(new Error(reason)))
  }
}
