/** Clock that holds the delays between connection attempts, so that a test controls how long a request waits for its connection. */
import { ClockService } from '../src/common/ClockService.js'
import { toDisposable } from '../src/common/Disposable.js'
import type { IDisposable, Milliseconds } from '../src/common/Types.js'

const MAXIMUM_HELD_DELAY_MS = 1

/** Holds timers of up to 1 ms until they are released; all other timers run normally. */
export class HeldClock extends ClockService {
  private readonly _heldActions = new Set<() => void>()
  private _isHolding = true

  public override after (delay: Milliseconds, action: () => void): IDisposable {
    if (!this._isHolding || delay > MAXIMUM_HELD_DELAY_MS) return super.after(delay, action)
    this._heldActions.add(action)
    return toDisposable(() => this._heldActions.delete(action))
  }

  /** Runs all held actions; later timers are not held. */
  public release (): void {
    this._isHolding = false
    for (const action of this._heldActions) action()
    this._heldActions.clear()
  }
}
