/** Records which requests were started and which must never be started, for longer than any deadline. */
import type { Milliseconds, RequestId, Timestamp } from '../common/Types.js'
import type { SettleResult } from './Types.js'

/** Limits of `StartedRequests`. */
export interface IStartedRequestsOptions {
  /** Minimum time for which a request is recorded. */
  readonly retention: Milliseconds
  /** Maximum number of requests recorded within one retention period. */
  readonly capacity: number
}

/** Defaults of `StartedRequests`. */
export const DEFAULT_STARTED_REQUESTS_OPTIONS: IStartedRequestsOptions = Object.freeze({
  retention: 120_000 as Milliseconds,
  capacity: 50_000
})

/** Requests recorded within one retention period. */
class Generation {
  public readonly outcomes = new Map<RequestId, SettleResult>()
  /** True if the capacity was exceeded, so that a missing entry does not prove that the request was not started. */
  public isIncomplete = false
}

/** Keeps two generations, so that every entry is stored for at least one retention period. */
export class StartedRequests {
  private readonly _options: IStartedRequestsOptions
  private _current = new Generation()
  private _previous = new Generation()
  private _rotateAt = 0

  constructor (options: Partial<IStartedRequestsOptions> = {}) {
    this._options = { ...DEFAULT_STARTED_REQUESTS_OPTIONS, ...options }
  }

  /** Returns whether `settle` decided that the request must never be started. */
  public isRefused (requestId: RequestId): boolean {
    return this._find(requestId) === 'never-will-be'
  }

  /** Marks a request as started; false if `settle` decided that it must never be started. */
  public markStarted (requestId: RequestId, now: Timestamp): boolean {
    if (this._find(requestId) === 'never-will-be') return false
    this._record(requestId, 'started', now)
    return true
  }

  /**
   * Returns whether a request was started. A request that is not recorded as started is refused if it arrives later. Returns
   * `started` if the records are incomplete.
   */
  public settle (requestId: RequestId, now: Timestamp): SettleResult {
    const known = this._find(requestId)
    if (known !== undefined) return known
    if (this._current.isIncomplete || this._previous.isIncomplete) return 'started'
    return this._record(requestId, 'never-will-be', now) ? 'never-will-be' : 'started'
  }

  private _find (requestId: RequestId): SettleResult | undefined {
    return this._current.outcomes.get(requestId) ?? this._previous.outcomes.get(requestId)
  }

  private _record (requestId: RequestId, outcome: SettleResult, now: Timestamp): boolean {
    this._rotate(now)
    if (this._current.outcomes.size >= this._options.capacity) {
      this._current.isIncomplete = true
      return false
    }
    this._current.outcomes.set(requestId, outcome)
    return true
  }

  private _rotate (now: Timestamp): void {
    if (now < this._rotateAt) return
    this._previous = this._current
    this._current = new Generation()
    this._rotateAt = now + this._options.retention
  }
}
