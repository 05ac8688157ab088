/** Queue between the message callback of a link and the task that handles the messages in order. */

/** Bounded: the transport stops reading while its consumer is slow, and messages that still arrive at a full queue are dropped. */
export class MessageQueue<TMessage> {
  private readonly _messages: TMessage[] = []
  private _consumer: ((message: TMessage | undefined) => void) | undefined
  private _isClosed = false

  constructor (private readonly _maximumMessages: number) {}

  /** Adds a message; returns false if the queue is full or closed. */
  public push (message: TMessage): boolean {
    if (this._isClosed || this._messages.length >= this._maximumMessages) return false
    const consumer = this._consumer
    this._consumer = undefined
    if (consumer === undefined) this._messages.push(message)
    else consumer(message)
    return true
  }

  /** Resolves with the next message, or with undefined once the queue is closed. Only one task may wait at a time. */
  public next (): Promise<TMessage | undefined> {
    if (this._isClosed) return Promise.resolve(undefined)
    const message = this._messages.shift()
    if (message !== undefined) return Promise.resolve(message)
    return new Promise((resolve) => { this._consumer = resolve })
  }

  /** Drops the queued messages and resolves a pending `next` with undefined. */
  public close (): void {
    this._isClosed = true
    this._messages.length = 0
    this._consumer?.(undefined)
    this._consumer = undefined
  }
}
