/** Lets one task wait for a notification of another task, with a timeout. */
import type { IClockService } from '../common/Services.js'
import type { Milliseconds } from '../common/Types.js'

/** A notification while no task is waiting is kept for the next `wait`. */
export class Signal {
  private _isSet = false
  private _wake: (() => void) | undefined

  constructor (private readonly _clock: IClockService) {}

  /** Wakes the waiting task; if no task is waiting, the next `wait` resolves at once. */
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
