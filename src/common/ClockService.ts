/** The clock of the running process. */
import { toDisposable } from './Disposable.js'
import type { IClockService } from './Services.js'
import type { IDisposable, Milliseconds, Timestamp } from './Types.js'

/** Reads the system clock; never goes backwards within one process. */
export class ClockService implements IClockService {
  private _last = 0

  public now (): Timestamp {
    this._last = Math.max(this._last, Date.now())
    return this._last as Timestamp
  }

  public after (delay: Milliseconds, action: () => void): IDisposable {
    const timer = setTimeout(action, delay)
    return toDisposable(() => clearTimeout(timer))
  }

  public every (interval: Milliseconds, action: () => void): IDisposable {
    const timer = setInterval(action, interval)
    return toDisposable(() => clearInterval(timer))
  }

  public sleep (delay: Milliseconds): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, delay))
  }
}
