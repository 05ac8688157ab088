/** Test fixture: the disconnect of a caller that arrives while the event loop is blocked. */
import { CancellationSource } from '../../src/common/Cancellation.js'

/** Long enough that the process must read again before it acts, and shorter than a usual pause of a process. */
const BLOCK_MS = 70

/** Blocks the event loop for `duration` milliseconds. */
export function blockEventLoop (duration: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, duration)
}

/** Blocks the event loop in the iteration after its state was asked for the `blockingRead`th time; the disconnect is read after that. */
export class LateCancellation extends CancellationSource {
  private _reads = 0

  constructor (private readonly _blockingRead: number) {
    super()
  }

  public override get isCancelled (): boolean {
    const isCancelled = super.isCancelled
    if (++this._reads === this._blockingRead) {
      setImmediate(() => {
        blockEventLoop(BLOCK_MS)
        setImmediate(() => this.cancel())
      })
    }
    return isCancelled
  }
}
