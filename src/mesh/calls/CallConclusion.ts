/** Ends the wait for results that have not come by the end of a planned stop. */
import { Emitter } from '../../common/Emitter.js'
import type { IClockService } from '../../common/Services.js'
import type { Milliseconds } from '../../common/Types.js'
import type { CallResult } from './CallTask.js'

/** Time for results that are due at the beginning, as those of requests that waited and now never run. */
const SETTLING_MS = 20 as Milliseconds

/** Gives each call its own result, or that it may have run. */
export class CallConclusion {
  private readonly _ended = new Emitter<void>()
  private _hasBegun = false

  constructor (private readonly _clock: IClockService) {}

  /** True from the moment on from which calls make no further attempt. */
  public get hasBegun (): boolean {
    return this._hasBegun
  }

  /** Ends all calls shortly. */
  public begin (): void {
    if (this._hasBegun) return
    this._hasBegun = true
    this._clock.after(SETTLING_MS, () => this._ended.fire())
  }

  /** The result of a call, or `unknown` if it does not come in time. */
  public resultOf (running: Promise<CallResult>): Promise<CallResult> {
    return new Promise((resolve, reject) => {
      const ended = this._ended.event(() => resolve({ kind: 'unknown', reason: 'node stops' }))
      running.then((result) => {
        ended.dispose()
        resolve(result)
      }, (error: unknown) => {
        ended.dispose()
        reject(error)
      })
    })
  }
}
