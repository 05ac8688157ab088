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
    return onceRead(action, (act) => setTimeout(act, delay))
  }

  public every (interval: Milliseconds, action: () => void): IDisposable {
    return onceRead(action, (act) => setInterval(act, interval))
  }

  public sleep (delay: Milliseconds): Promise<void> {
    return new Promise((resolve) => { this.after(delay, resolve) })
  }
}

/**
 * Acts only after the event loop has read once more: where this process itself was late, what the timer waits for may have
 * come long before.
 */
function onceRead (action: () => void, begin: (act: () => void) => NodeJS.Timeout): IDisposable {
  let immediate: NodeJS.Immediate | undefined
  const timer = begin(() => { immediate = setImmediate(action) })
  return toDisposable(() => {
    clearTimeout(timer)
    clearImmediate(immediate)
  })
}
