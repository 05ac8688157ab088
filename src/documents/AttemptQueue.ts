/** Runs the attempts of one node one after the other. */

/** Attempts of one node would only overtake each other at the head of the change log. */
export class AttemptQueue {
  private _tail: Promise<unknown> = Promise.resolve()

  /** Runs `attempt` after all that came before; settles as it does. */
  public run<TResult> (attempt: () => Promise<TResult>): Promise<TResult> {
    const result = this._tail.then(attempt)
    this._tail = result.catch(() => {})
    return result
  }
}
