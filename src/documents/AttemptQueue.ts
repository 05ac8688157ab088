/** Serializes the attempts of one node. */

/** Concurrent attempts of one node would conflict with each other at the head of the change log. */
export class AttemptQueue {
  private _tail: Promise<unknown> = Promise.resolve()

  /** Runs `attempt` after all earlier ones have settled; settles with the result of `attempt`. */
  public run<TResult> (attempt: () => Promise<TResult>): Promise<TResult> {
    const result = this._tail.then(attempt)
    this._tail = result.catch(() => {})
    return result
  }
}
