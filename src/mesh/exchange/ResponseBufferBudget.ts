/** Limits the total memory of responses that are being received or sent. */
import type { ServerResponse } from 'node:http'

/** A response that occupies memory: one that is being received, or a complete one that its reader has not received yet. */
export interface IBufferedResponse {
  /** Occupied memory in bytes. */
  readonly bytes: number
  /** Discards the buffered bytes and closes the connection. */
  abort (reason: string): void
}

/** Options of `ResponseBufferBudget`. */
export interface IResponseBufferBudgetOptions {
  /** Maximum memory of all responses together, in bytes. */
  readonly limit: number
}

/**
 * Defaults of `ResponseBufferBudget`. Two responses of maximum size fit at once; the smallest VMs have about 100 MB beside this
 * process.
 */
export const DEFAULT_RESPONSE_BUFFER_BUDGET_OPTIONS: IResponseBufferBudgetOptions = Object.freeze({ limit: 33_554_432 })

/** Smaller responses are not counted while they are sent. With the most connections that a VM allows they stay below 100 MB. */
const MINIMUM_COUNTED_BYTES = 16_384
/** Reason for dropping a response. */
const TOO_LARGE = 'answer too large beside others'

/**
 * One for the process: endless responses may come from the local endpoint, from several other nodes, or pile up because callers do not
 * read. When the limit is exceeded, the largest response is aborted, the oldest of equal ones first, so that complete responses of normal
 * size are never lost for lack of memory.
 */
export class ResponseBufferBudget {
  private readonly _options: IResponseBufferBudgetOptions
  /** Counted bytes of each response. */
  private readonly _responses = new Map<IBufferedResponse, number>()
  private _total = 0

  constructor (options: Partial<IResponseBufferBudgetOptions> = {}) {
    this._options = { ...DEFAULT_RESPONSE_BUFFER_BUDGET_OPTIONS, ...options }
  }

  /** Memory of all responses in bytes. */
  public get bytes (): number {
    return this._total
  }

  /** Records that a response has grown, and aborts the largest responses while the total exceeds the limit. */
  public recordGrowth (response: IBufferedResponse): void {
    this._total += response.bytes - (this._responses.get(response) ?? 0)
    this._responses.set(response, response.bytes)
    while (this._total > this._options.limit) this._dropLargest()
  }

  /** Removes a response that is finished or discarded. */
  public release (response: IBufferedResponse): void {
    this._total -= this._responses.get(response) ?? 0
    this._responses.delete(response)
  }

  /**
   * Counts a complete response of `bytes` until its reader has received it. If the response has to be dropped, `onDropped` is called and
   * its connection is closed.
   */
  public countUntilSent (response: ServerResponse, bytes: number, onDropped: () => void): void {
    if (bytes < MINIMUM_COUNTED_BYTES) return
    const sending: IBufferedResponse = {
      bytes,
      abort: () => {
        onDropped()
        response.destroy()
      }
    }
    response.once('close', () => this.release(sending))
    this.recordGrowth(sending)
  }

  private _dropLargest (): void {
    let largest: IBufferedResponse | undefined
    let largestBytes = 0
    for (const [response, bytes] of this._responses) {
      if (bytes <= largestBytes) continue
      largest = response
      largestBytes = bytes
    }
    if (largest === undefined) return
    this.release(largest)
    largest.abort(TOO_LARGE)
  }
}
