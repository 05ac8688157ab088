/** The clock of one node of a fleet; while the node is paused its timers wait, as those of a stopped process do. */
import { ClockService } from '../../src/common/ClockService.js'
import type { IDisposable, Milliseconds } from '../../src/common/Types.js'

/** Time goes on while timers wait. */
export class PausableClock extends ClockService {
  private _waiting: Array<() => void> | undefined

  public get isPaused (): boolean {
    return this._waiting !== undefined
  }

  public pause (): void {
    this._waiting ??= []
  }

  /** Runs what fell due meanwhile, in order. */
  public resume (): void {
    const waiting = this._waiting ?? []
    this._waiting = undefined
    for (const action of waiting) action()
  }

  /** Runs the action now, or when the node resumes. */
  public runWhenRunning (action: () => void): void {
    if (this._waiting === undefined) action()
    else this._waiting.push(action)
  }

  public override after (delay: Milliseconds, action: () => void): IDisposable {
    let isDisposed = false
    const timer = super.after(delay, () => this.runWhenRunning(() => { if (!isDisposed) action() }))
    return {
      dispose: () => {
        isDisposed = true
        timer.dispose()
      }
    }
  }

  public override every (interval: Milliseconds, action: () => void): IDisposable {
    let isDisposed = false
    const timer = super.every(interval, () => this.runWhenRunning(() => { if (!isDisposed) action() }))
    return {
      dispose: () => {
        isDisposed = true
        timer.dispose()
      }
    }
  }

  public override sleep (delay: Milliseconds): Promise<void> {
    return new Promise((resolve) => { this.after(delay, resolve) })
  }
}
