/** Timeout, backoff and jitter of calls to the platform. */
import { SavoryknotError } from '../common/SavoryknotError.js'
import type { IClockService, IRandomService } from '../common/Services.js'
import type { Milliseconds } from '../common/Types.js'

/** A call did not settle within its timeout. */
export class CallTimeoutError extends SavoryknotError {}

/** Settles like `call`, or rejects with `CallTimeoutError` after `timeout`. The call itself is not cancelled. */
export function withTimeout<TResult> (clock: IClockService, call: Promise<TResult>, timeout: Milliseconds, step: string): Promise<TResult> {
  return new Promise((resolve, reject) => {
    const timer = clock.after(timeout, () => reject(new CallTimeoutError(`no response within ${timeout} ms`, { step, peer: 'store' })))
    call.then(resolve, reject).finally(() => timer.dispose())
  })
}

/** Delay before the next attempt: exponential backoff with full jitter below a bound that doubles with each failure. */
export function backoff (random: IRandomService, failures: number, first: Milliseconds, limit: Milliseconds): Milliseconds {
  const bound = Math.min(limit, first * 2 ** Math.min(failures, 16))
  return Math.round(bound * random.fraction()) as Milliseconds
}

/** Random whole number of milliseconds, uniformly distributed between `interval` times `1 - spread` and `interval` times `1 + spread`. */
export function jitter (random: IRandomService, interval: number, spread: number): Milliseconds {
  return Math.round(interval * (1 - spread + 2 * spread * random.fraction())) as Milliseconds
}

/** Message of a thrown value, followed by the messages of its causes. */
export function reasonOf (error: unknown): string {
  if (!(error instanceof Error)) return String(error)
  return error.cause === undefined ? error.message : `${error.message}: ${reasonOf(error.cause)}`
}
