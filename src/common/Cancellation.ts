/** Tells work in several steps that nobody waits for its result any more. */
import { Emitter } from './Emitter.js'
import type { IDisposable, IEvent } from './Types.js'

/** Whether somebody still waits for a result. */
export interface ICancellation {
  readonly isCancelled: boolean
  /** Calls its listener once, at once if the cancellation came before the subscription. */
  readonly onCancelled: IEvent<void>
}

const NOTHING_TO_RELEASE: IDisposable = Object.freeze({ dispose: () => undefined })

/** A cancellation and the means to cause it. Once cancelled it stays so. */
export class CancellationSource implements ICancellation {
  private readonly _emitter = new Emitter<void>()
  private _isCancelled = false

  public get isCancelled (): boolean {
    return this._isCancelled
  }

  public readonly onCancelled: IEvent<void> = (listener) => {
    if (!this._isCancelled) return this._emitter.event(listener)
    listener()
    return NOTHING_TO_RELEASE
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
export const NO_CANCELLATION: ICancellation = Object.freeze({ isCancelled: false, onCancelled: () => NOTHING_TO_RELEASE })
