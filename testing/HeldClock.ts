/** A clock that holds the pauses between openings of connections, so that a request waits for its connection as long as a test wants. */
import { ClockService } from '../src/common/ClockService.js'
import { toDisposable } from '../src/common/Disposable.js'
import type { IDisposable, Milliseconds } from '../src/common/Types.js'

const LONGEST_HELD_MS = 1

/** Holds its shortest timers until they are let go; all others run. */
export class HeldClock extends ClockService {
  private readonly _held = new Set<() => void>()
  private _isHolding = true

  public override after (delay: Milliseconds, action: () => void): IDisposable {
    if (!this._isHolding || delay > LONGEST_HELD_MS) return super.after(delay, action)
    this._held.add(action)
    return toDisposable(() => this._held.delete(action))
  }

  /** Runs what is held, and holds nothing any more. */
  public letGo (): void {
    this._isHolding = false
    for (const action of this._held) action()
    this._held.clear()
  }
}
