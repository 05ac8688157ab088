/** Clock of one fleet node. While the node is paused, its timers are deferred, as in a stopped process. */
import { ClockService } from '../../src/common/ClockService.js'
import type { IDisposable, Milliseconds } from '../../src/common/Types.js'

/** Time still advances while timers are deferred. */
export class PausableClock extends ClockService {
  private _deferredActions: Array<() => void> | undefined

  public get isPaused (): boolean {
    return this._deferredActions !== undefined
  }

  public pause (): void {
    this._deferredActions ??= []
  }

  /** Runs the actions that became due during the pause, in order. */
  public resume (): void {
    const deferred = this._deferredActions ?? []
    this._deferredActions = undefined
    for (const action of deferred) action()
  }

  /** Runs the action immediately or, while the node is paused, as soon as it resumes. */
  public runWhenRunning (action: () => void): void {
    if (this._deferredActions === undefined) action()
    else this._deferredActions.push(action)
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
