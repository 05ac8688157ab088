/** Ends a request whose answer does not begin, go on or end in time. */
import type { IClockService } from '../common/Services.js'
import type { IDisposable, Milliseconds, Timestamp } from '../common/Types.js'

/** Limits of one answer. */
export interface IAnswerLimits {
  /** Time until the answer begins. */
  readonly begin: Milliseconds
  /** Time between two parts of the answer. */
  readonly silence: Milliseconds
  /** Time for the request as a whole. */
  readonly whole: Milliseconds
}

/** One timer, set anew with each part of the answer. */
export class AnswerTimeout implements IDisposable {
  private readonly _controller = new AbortController()
  private readonly _endsAt: Timestamp
  private _timer: IDisposable

  constructor (private readonly _clock: IClockService, private readonly _limits: IAnswerLimits) {
    this._endsAt = _clock.now() + _limits.whole as Timestamp
    this._timer = this._after(_limits.begin, 'answer did not begin in time')
  }

  /** Aborted when a limit is passed. */
  public get signal (): AbortSignal {
    return this._controller.signal
  }

  /** A part of the answer has come. */
  public notePart (): void {
    this._timer.dispose()
    this._timer = this._after(this._limits.silence, 'answer did not go on in time')
  }

  public dispose (): void {
    this._timer.dispose()
  }

  private _after (limit: Milliseconds, reason: string): IDisposable {
    const left = Math.max(0, Math.min(limit, this._endsAt - this._clock.now())) as Milliseconds
    return this._clock.after(left, () => this._controller.abort(new Error(reason)))
  }
}
