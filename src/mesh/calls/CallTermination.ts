/** Ends the wait for the results of calls that are still running at the end of a planned stop. */
import { Emitter } from '../../common/Emitter.js'
import type { IClockService } from '../../common/Services.js'
import type { Milliseconds } from '../../common/Types.js'
import type { CallResult } from './CallTask.js'

/** Delay in which results in transit can still arrive, for example the refusals of requests that are queued and will not run. */
const TERMINATION_DELAY_MS = 20 as Milliseconds

/** Returns the result of each call, or `unknown` for calls that are still running when the termination takes effect. */
export class CallTermination {
  private readonly _onTerminated = new Emitter<void>()
  private _hasStarted = false

  constructor (private readonly _clock: IClockService) {}

  /** True once the termination has started. From then on calls make no further attempts. */
  public get hasStarted (): boolean {
    return this._hasStarted
  }

  /** Ends all calls after `TERMINATION_DELAY_MS`. */
  public start (): void {
    if (this._hasStarted) return
    this._hasStarted = true
    this._clock.after(TERMINATION_DELAY_MS, () => this._onTerminated.fire())
  }

  /** The result of a call, or `unknown` if the call is still running when the termination takes effect. */
  public resultOf (running: Promise<CallResult>): Promise<CallResult> {
    return new Promise((resolve, reject) => {
      const subscription = this._onTerminated.event(() => resolve({ kind: 'unknown', reason: 'node is shutting down' }))
      running.then((result) => {
        subscription.dispose()
        resolve(result)
      }, (error: unknown) => {
        subscription.dispose()
        reject(error)
      })
    })
  }
}
