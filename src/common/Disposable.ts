/** Base class of objects that own other disposable objects. */
import type { IDisposable } from './Types.js'

/** Disposes its registered objects in reverse order of registration. */
export abstract class Disposable implements IDisposable {
  private readonly _owned: IDisposable[] = []
  private _isDisposed = false

  /** True once `dispose` was called. */
  public get isDisposed (): boolean {
    return this._isDisposed
  }

  /** Disposes all registered objects. A second call has no effect. */
  public dispose (): void {
    if (this._isDisposed) return
    this._isDisposed = true
    while (this._owned.length > 0) this._owned.pop()?.dispose()
  }

  /** Takes ownership of `object`, which is disposed immediately if this object is already disposed. */
  protected register<TObject extends IDisposable> (object: TObject): TObject {
    if (this._isDisposed) object.dispose()
    else this._owned.push(object)
    return object
  }
}

/** Creates a disposable from a function that is called at most once. */
export function toDisposable (release: () => void): IDisposable {
  let isReleased = false
  return {
    dispose: () => {
      if (isReleased) return
      isReleased = true
      release()
    }
  }
}
