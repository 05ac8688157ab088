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
  return Math.round(bound * random.fraction()) as Milliseconds
}

/** A whole number of milliseconds drawn evenly from `interval` less and plus its share `spread`. */
export function jitter (random: IRandomService, interval: number, spread: number): Milliseconds {
  return Math.round(interval * (1 - spread + 2 * spread * random.fraction())) as Milliseconds
}

/** Message of anything that was thrown, with that of its cause. */
export function reasonOf (error: unknown): string {
  if (!(error instanceof Error)) return String(error)
  return error.cause === undefined ? error.message : `${error.message}: ${reasonOf(error.cause)}`
}
