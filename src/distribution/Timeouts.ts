/** Bounds the time that a call to the platform may take. */
import { SavoryknotError } from '../common/SavoryknotError.js'
import type { IClockService, IRandomService } from '../common/Services.js'
import type { Milliseconds } from '../common/Types.js'

/** A call did not settle in time. */
export class CallTimeoutError extends SavoryknotError {}

/** Settles as `call` does, or rejects with `CallTimeoutError` after `timeout`. */
export function withTimeout<TResult> (clock: IClockService, call: Promise<TResult>, timeout: Milliseconds, step: string): Promise<TResult> {
  return new Promise((resolve, reject) => {
    const timer = clock.after(timeout, () => reject(new CallTimeoutError(`no answer within ${timeout} ms`, { step, peer: 'store' })))
    call.then(resolve, reject).finally(() => timer.dispose())
  })
}

/** Time to wait before the next attempt: full jitter below a bound that doubles with each failure. */
export function backoff (random: IRandomService, failures: number, first: Milliseconds, limit: Milliseconds): Milliseconds {
  const bound = Math.min(limit, first * 2 ** Math.min(failures, 16))
  return bound * random.fraction() as Milliseconds
}

/** Message of anything that was thrown. */
export function reasonOf (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}
