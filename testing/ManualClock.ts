/** Clock whose time is advanced explicitly by tests. */
import { toDisposable } from '../src/common/Disposable.js'
import type { IClockService } from '../src/common/Services.js'
import type { IDisposable, Milliseconds, Timestamp } from '../src/common/Types.js'

interface IPendingTimer {
  dueAt: number
  readonly interval: number | undefined
  readonly action: () => void
}

/** Runs timers in the order of their due times when the clock is advanced. */
export class ManualClock implements IClockService {
  /** Number of timers that have run; in a process, each is a wake-up. */
  public timersRun = 0
  private readonly _timers = new Set<IPendingTimer>()

  constructor (private _now = 1_700_000_000_000) {}

  public now (): Timestamp {
    return this._now as Timestamp
  }

  public after (delay: Milliseconds, action: () => void): IDisposable {
    return this._add({ dueAt: this._now + delay, interval: undefined, action })
  }

  public every (interval: Milliseconds, action: () => void): IDisposable {
    return this._add({ dueAt: this._now + interval, interval, action })
  }

  public sleep (delay: Milliseconds): Promise<void> {
    return new Promise((resolve) => { this.after(delay, resolve) })
  }

  /** Advances the time by `duration` and runs the timers that become due; lets promises settle between timers. */
  public async advance (duration: number): Promise<void> {
    const end = this._now + duration
    let next = this._nextDue(end)
    while (next !== undefined) {
      this._now = Math.max(this._now, next.dueAt)
      this._run(next)
      await settlePromises()
      next = this._nextDue(end)
    }
    this._now = end
    await settlePromises()
  }

  private _add (timer: IPendingTimer): IDisposable {
    this._timers.add(timer)
    return toDisposable(() => this._timers.delete(timer))
  }

  private _nextDue (end: number): IPendingTimer | undefined {
    let earliest: IPendingTimer | undefined
    for (const timer of this._timers) {
      if (timer.dueAt > end) continue
      if (earliest === undefined || timer.dueAt < earliest.dueAt) earliest = timer
    }
    return earliest
  }

  private _run (timer: IPendingTimer): void {
    if (timer.interval === undefined) this._timers.delete(timer)
    else timer.dueAt += timer.interval
    this.timersRun++
    timer.action()
  }
}

/** Lets callbacks of settled promises run. */
export function settlePromises (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}
