/** Two attempts of one request under way at once. */
import { CancellationSource, type ICancellation } from '../../common/Cancellation.js'
import { toDisposable } from '../../common/Disposable.js'
import type { IEvent } from '../../common/Types.js'
import { isServed } from '../exchange/Statuses.js'
import type { AttemptOutcome } from '../Types.js'

/** Lets one attempt be cancelled by the caller or by the end of the other one. */
export class AbortableAttempt implements ICancellation {
  private readonly _aborted = new CancellationSource()

  /** `_caller`: of the request. */
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

/** True if the outcome is an answer other than a failure. */
export function isUseful (outcome: AttemptOutcome): boolean {
  return outcome.kind === 'answered' && isServed(outcome.answer.status)
}

/** The first of two outcomes that is an answer other than a failure; if neither is, the second to end. */
export function firstUseful (left: Promise<AttemptOutcome>, right: Promise<AttemptOutcome>): Promise<AttemptOutcome> {
  return new Promise((resolve) => {
    let ended = 0
    const take = (outcome: AttemptOutcome): void => {
      ended++
      if (ended === 2 || isUseful(outcome)) resolve(outcome)
    }
    const fail = (error: unknown): void => take({ kind: 'unknown', reason: String(error) })
    left.then(take, fail)
    right.then(take, fail)
  })
}
