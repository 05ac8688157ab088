/** Budget of retries as a share of requests. */

/** Size of the token bucket. */
export interface IRetryBudgetOptions {
  /** Retries that may be saved up. */
  readonly tokenLimit: number
  /** Retries available before the first request. */
  readonly initialTokens: number
}

/** Defaults of `RetryBudget`. */
export const DEFAULT_RETRY_BUDGET_OPTIONS: IRetryBudgetOptions = Object.freeze({ tokenLimit: 10, initialTokens: 1 })

/** Every request adds a share of a token; every retry takes a whole one. */
export class RetryBudget {
  private _tokens: number
  private readonly _options: IRetryBudgetOptions

  constructor (options: Partial<IRetryBudgetOptions> = {}) {
    this._options = { ...DEFAULT_RETRY_BUDGET_OPTIONS, ...options }
    this._tokens = this._options.initialTokens
  }

  /** Retries that could be made now. */
  public get tokens (): number {
    return this._tokens
  }

  /** Counts a first attempt; `percent` is the share of requests that may be retried. */
  public deposit (percent: number): void {
    this._tokens = Math.min(this._options.tokenLimit, this._tokens + percent / 100)
  }

  /** Takes a token. Returns false if there is none. */
  public withdraw (): boolean {
    if (this._tokens < 1) return false
    this._tokens--
    return true
  }
}
