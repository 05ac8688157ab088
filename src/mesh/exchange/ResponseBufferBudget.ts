/** Limits the total memory of responses that are being received. */

/** A response that is being received. */
export interface IPartialResponse {
  /** Number of buffered bytes. */
  readonly bytes: number
  /** Discards the buffered bytes and aborts the exchange. */
  abort (reason: string): void
}

/** Options of `ResponseBufferBudget`. */
export interface IResponseBufferBudgetOptions {
  /** Maximum number of buffered bytes of all unfinished responses together. */
  readonly limit: number
}

/**
 * Defaults of `ResponseBufferBudget`. Two responses of maximum size fit at once; the smallest VMs have about 100 MB beside this
 * process.
 */
export const DEFAULT_RESPONSE_BUFFER_BUDGET_OPTIONS: IResponseBufferBudgetOptions = Object.freeze({ limit: 33_554_432 })

/**
 * Protects against several endless responses at once: when the limit is exceeded, the largest response is aborted, so that complete
 * responses of normal size are never lost for lack of memory.
 */
export class ResponseBufferBudget {
  private readonly _options: IResponseBufferBudgetOptions
  private readonly _responses = new Set<IPartialResponse>()

  constructor (options: Partial<IResponseBufferBudgetOptions> = {}) {
    this._options = { ...DEFAULT_RESPONSE_BUFFER_BUDGET_OPTIONS, ...options }
  }

  /** Records that a response has grown, and aborts the largest responses while the total exceeds the limit. */
  public recordGrowth (response: IPartialResponse): void {
    this._responses.add(response)
    while (this._bufferedBytes > this._options.limit) this._dropLargest()
  }

  /** Removes a response that is finished or discarded. */
  public release (response: IPartialResponse): void {
    this._responses.delete(response)
  }

  private get _bufferedBytes (): number {
    let total = 0
    for (const { bytes } of this._responses) total += bytes
    return total
  }

  private _dropLargest (): void {
    let largest: IPartialResponse | undefined
    for (const response of this._responses) {
      if (largest === undefined || response.bytes > largest.bytes) largest = response
    }
    if (largest === undefined) return
    this._responses.delete(largest)
    largest.abort('answer too large beside others')
  }
}
