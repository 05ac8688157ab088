/** Two attempts of one request that run in parallel. */
import { CancellationSource, type ICancellation } from '../../common/Cancellation.js'
import { toDisposable } from '../../common/Disposable.js'
import type { IEvent } from '../../common/Types.js'
import { isServed } from '../exchange/Statuses.js'
import type { AttemptOutcome } from '../Types.js'

/** Cancellation of one attempt, either by the caller or because the other attempt has finished. */
export class AbortableAttempt implements ICancellation {
  private readonly _aborted = new CancellationSource()

  /** `_caller`: cancellation of the request. */
  constructor (private readonly _caller: ICancellation) {}

  public get isCancelled (): boolean {
    return this._caller.isCancelled || this._aborted.isCancelled
  }

  public readonly onCancelled: IEvent<void> = (listener) => {
    const subscriptions = [this._caller.onCancelled(listener), this._aborted.onCancelled(listener)]
    return toDisposable(() => { for (const subscription of subscriptions) subscription.dispose() })
  }

  public abort (): void {
    this._aborted.cancel()
  }
}

/** True if the outcome is a response that is not a server error. */
export function isSuccessful (outcome: AttemptOutcome): boolean {
  return outcome.kind === 'answered' && isServed(outcome.answer.status)
}

/** Resolves with the first successful outcome; if neither outcome is successful, with the one that finishes last. */
export function firstSuccessful (left: Promise<AttemptOutcome>, right: Promise<AttemptOutcome>): Promise<AttemptOutcome> {
  return new Promise((resolve) => {
    let finished = 0
    const onOutcome = (outcome: AttemptOutcome): void => {
      finished++
      if (finished === 2 || isSuccessful(outcome)) resolve(outcome)
    }
    const onError = (error: unknown): void => onOutcome({ kind: 'unknown', reason: String(error) })
    left.then(onOutcome, onError)
    right.then(onOutcome, onError)
  })
}
