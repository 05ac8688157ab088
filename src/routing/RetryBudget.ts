/** Limits retries to a share of requests. */

/** Options of the token bucket. */
export interface IRetryBudgetOptions {
  /** Maximum number of accumulated tokens. */
  readonly tokenLimit: number
  /** Tokens available before the first request. */
  readonly initialTokens: number
}

/** Defaults of `RetryBudget`. */
export const DEFAULT_RETRY_BUDGET_OPTIONS: IRetryBudgetOptions = Object.freeze({ tokenLimit: 10, initialTokens: 1 })

/** Token bucket: each request adds a fraction of a token, and each retry consumes one token. */
export class RetryBudget {
  private _tokens: number
  private readonly _options: IRetryBudgetOptions

  constructor (options: Partial<IRetryBudgetOptions> = {}) {
    this._options = { ...DEFAULT_RETRY_BUDGET_OPTIONS, ...options }
    this._tokens = this._options.initialTokens
  }

  /** Available tokens. */
  public get tokens (): number {
    return this._tokens
  }

  /** Adds the share of one request; `percent` of the requests may be retried. */
  public deposit (percent: number): void {
    this._tokens = Math.min(this._options.tokenLimit, this._tokens + percent / 100)
  }

  /** Consumes a token. Returns false if less than one is available. */
  public withdraw (): boolean {
    if (this._tokens < 1) return false
    this._tokens--
    return true
  }
}
