/** Queue between the callback of a link and the task that handles its messages in order. */

/** Unbounded only in name: the transport stops reading while its consumer is slow, and the limit drops what still comes. */
export class MessageQueue<TMessage> {
  private readonly _messages: TMessage[] = []
  private _waiting: ((message: TMessage | undefined) => void) | undefined
  private _isClosed = false

  constructor (private readonly _limit: number) {}

  /** Adds a message; returns false if the queue is full or closed. */
  public push (message: TMessage): boolean {
    if (this._isClosed || this._messages.length >= this._limit) return false
    const waiting = this._waiting
    this._waiting = undefined
    if (waiting === undefined) this._messages.push(message)
    else waiting(message)
    return true
  }

  /** The next message; undefined once the queue is closed. Only one task may wait. */
  public next (): Promise<TMessage | undefined> {
    if (this._isClosed) return Promise.resolve(undefined)
    const message = this._messages.shift()
    if (message !== undefined) return Promise.resolve(message)
    return new Promise((resolve) => { this._waiting = resolve })
  }

  /** Drops what is queued and ends the waiting task. */
  public close (): void {
    this._isClosed = true
    this._messages.length = 0
    this._waiting?.(undefined)
    this._waiting = undefined
  }
}
