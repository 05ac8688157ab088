/** Remembers which requests were started and which never will be, for longer than any deadline. */
import type { Milliseconds, RequestId, Timestamp } from '../common/Types.js'
import type { SettleAnswer } from './Types.js'

/** Bounds of the memory. */
export interface IStartedRequestsOptions {
  /** Least time that a request is remembered. */
  readonly retention: Milliseconds
  /** Most requests remembered for one retention. */
  readonly capacity: number
}

/** Defaults of `StartedRequests`. */
export const DEFAULT_STARTED_REQUESTS_OPTIONS: IStartedRequestsOptions = Object.freeze({
  retention: 120_000 as Milliseconds,
  capacity: 50_000
})

/** Requests seen during one retention. */
class Generation {
  public readonly answers = new Map<RequestId, SettleAnswer>()
  /** True if the capacity did not suffice, so that absence proves nothing. */
  public isIncomplete = false
}

/** Two generations, so that every entry is kept for at least one retention. */
export class StartedRequests {
  private readonly _options: IStartedRequestsOptions
  private _present = new Generation()
  private _previous = new Generation()
  private _rotateAt = 0

  constructor (options: Partial<IStartedRequestsOptions> = {}) {
    this._options = { ...DEFAULT_STARTED_REQUESTS_OPTIONS, ...options }
  }

  /** Tells whether the request was declared never to be run. */
  public isRefused (requestId: RequestId): boolean {
    return this._find(requestId) === 'never-will-be'
  }

  /** Marks a request as started; false if it was declared never to be run. */
  public start (requestId: RequestId, now: Timestamp): boolean {
    if (this._find(requestId) === 'never-will-be') return false
    this._remember(requestId, 'started', now)
    return true
  }

  /** Answers for a request. One that is not known is from now on never run; in doubt the answer is `started`. */
  public settle (requestId: RequestId, now: Timestamp): SettleAnswer {
    const known = this._find(requestId)
    if (known !== undefined) return known
    if (this._present.isIncomplete || this._previous.isIncomplete) return 'started'
    return this._remember(requestId, 'never-will-be', now) ? 'never-will-be' : 'started'
  }

  private _find (requestId: RequestId): SettleAnswer | undefined {
    return this._present.answers.get(requestId) ?? this._previous.answers.get(requestId)
  }

  private _remember (requestId: RequestId, answer: SettleAnswer, now: Timestamp): boolean {
    this._rotate(now)
    if (this._present.answers.size >= this._options.capacity) {
      this._present.isIncomplete = true
      return false
    }
    this._present.answers.set(requestId, answer)
    return true
  }

  private _rotate (now: Timestamp): void {
    if (now < this._rotateAt) return
    this._previous = this._present
    this._present = new Generation()
    this._rotateAt = now + this._options.retention
  }
}
