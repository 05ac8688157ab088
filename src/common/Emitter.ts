/** Typed event source. */
import { toDisposable } from './Disposable.js'
import type { IDisposable, IEvent } from './Types.js'

/** Calls its listeners in the order of subscription. An owner exposes `event` as `onName`. */
export class Emitter<TArgument> implements IDisposable {
  private _listeners: ReadonlyArray<(argument: TArgument) => void> = []

  /** Subscribes a listener. */
  public readonly event: IEvent<TArgument> = (listener) => {
    this._listeners = [...this._listeners, listener]
    return toDisposable(() => {
      this._listeners = this._listeners.filter((candidate) => candidate !== listener)
    })
  }

  /** Calls every listener that is subscribed when the call starts. */
  public fire (argument: TArgument): void {
    for (const listener of this._listeners) listener(argument)
  }

  /** Removes all listeners. */
  public dispose (): void {
    this._listeners = []
  }
}
