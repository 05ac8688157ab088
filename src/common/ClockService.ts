/** System clock and timers. */
import { performance } from 'node:perf_hooks'
import { toDisposable } from './Disposable.js'
import type { IClockService } from './Services.js'
import type { IDisposable, Milliseconds, Timestamp } from './Types.js'

/** Maximum delay of a timer of Node.js, which runs timers with a longer delay at once. */
const MAXIMUM_DELAY_MS = 2_147_483_647

/**
 * Starts at the wall-clock time and advances with the monotonic clock, so that setting the wall clock forwards or backwards
 * does not move deadlines.
 */
export class ClockService implements IClockService {
  private readonly _origin = Date.now() - performance.now()

  public now (): Timestamp {
    return Math.floor(this._origin + performance.now()) as Timestamp
  }

  public after (delay: Milliseconds, action: () => void): IDisposable {
    return scheduleAfterRead(action, (onTimer) => setTimeout(onTimer, Math.min(delay, MAXIMUM_DELAY_MS)))
  }

  public every (interval: Milliseconds, action: () => void): IDisposable {
    return scheduleAfterRead(action, (onTimer) => setInterval(onTimer, Math.min(interval, MAXIMUM_DELAY_MS)))
  }

  public sleep (delay: Milliseconds): Promise<void> {
    return new Promise((resolve) => { this.after(delay, resolve) })
  }
}

/**
 * Runs `action` only after the event loop has polled for input once more: if this process was blocked or suspended, the message
 * that the timer waits for may have arrived long before.
 */
function scheduleAfterRead (action: () => void, startTimer: (onTimer: () => void) => NodeJS.Timeout): IDisposable {
  let immediate: NodeJS.Immediate | undefined
  const timer = startTimer(() => { immediate = setImmediate(action) })
  return toDisposable(() => {
    clearTimeout(timer)
    clearImmediate(immediate)
  })
}
