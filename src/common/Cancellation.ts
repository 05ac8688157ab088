/** Cancellation of asynchronous work whose result is no longer needed. */
import { Emitter } from './Emitter.js'
import type { IDisposable, IEvent } from './Types.js'

/** State of a cancellation, and its notification. */
export interface ICancellation {
  readonly isCancelled: boolean
  /** Calls its listener once; immediately if already cancelled when the listener subscribes. */
  readonly onCancelled: IEvent<void>
}

const NOOP_DISPOSABLE: IDisposable = Object.freeze({ dispose: () => undefined })

/** A cancellation that its owner can trigger. Cancelling is permanent. */
export class CancellationSource implements ICancellation {
  private readonly _emitter = new Emitter<void>()
  private _isCancelled = false

  public get isCancelled (): boolean {
    return this._isCancelled
  }

  public readonly onCancelled: IEvent<void> = (listener) => {
    if (!this._isCancelled) return this._emitter.event(listener)
    listener()
    return NOOP_DISPOSABLE
  }

  /** A second call has no effect. */
  public cancel (): void {
    if (this._isCancelled) return
    this._isCancelled = true
    this._emitter.fire()
    this._emitter.dispose()
  }
}

/** Never cancelled. */
export const NO_CANCELLATION: ICancellation = Object.freeze({ isCancelled: false, onCancelled: () => NOOP_DISPOSABLE })
