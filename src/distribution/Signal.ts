/** Lets one task wait until another tells it that something changed, or until a timeout. */
import type { IClockService } from '../common/Services.js'
import type { Milliseconds } from '../common/Types.js'

/** Remembers a notification that came while nobody waited. */
export class Signal {
  private _isSet = false
  private _wake: (() => void) | undefined

  constructor (private readonly _clock: IClockService) {}

  /** Wakes the waiting task, or the next one that waits. */
  public notify (): void {
    this._isSet = true
    this._wake?.()
  }

  /** Resolves at the next notification or after `timeout`. Only one task may wait. */
  public async wait (timeout: Milliseconds): Promise<void> {
    if (!this._isSet) await this._waitOrTimeout(timeout)
    this._isSet = false
  }

  private _waitOrTimeout (timeout: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      const timer = this._clock.after(timeout, resolve)
      this._wake = () => {
        this._wake = undefined
        timer.dispose()
        resolve()
      }
    })
  }
}
