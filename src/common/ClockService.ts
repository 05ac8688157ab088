/** The clock of the running process. */
import { performance } from 'node:perf_hooks'
import { toDisposable } from './Disposable.js'
import type { IClockService } from './Services.js'
import type { IDisposable, Milliseconds, Timestamp } from './Types.js'

/**
 * Starts at the time of day and goes on with the steady clock of the system, so that a time of day that is set
 * forwards or backwards moves no deadline.
 */
export class ClockService implements IClockService {
  private readonly _origin = Date.now() - performance.now()

  public now (): Timestamp {
    return Math.floor(this._origin + performance.now()) as Timestamp
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
