/** This node's share of the retry budget of the mesh. */
import type { Milliseconds, ServiceName, Timestamp } from '../../common/Types.js'

/** The retry budget that all nodes share. */
export interface IRetryBudgetShareOptions {
  /** Maximum retries in a window, as a share of the requests in the window. */
  readonly ratio: number
  /** Additional retries in a window, over all nodes. */
  readonly slack: number
  readonly window: Milliseconds
  /**
   * Fraction in use of `ratio` and `slack`. The rest is a reserve for calls that a retried request makes itself, and for measurement
   * windows that are shifted against the window of this node.
   */
  readonly usedFraction: number
}

/** Defaults of `RetryBudgetShare`. */
export const DEFAULT_RETRY_BUDGET_SHARE_OPTIONS: IRetryBudgetShareOptions = Object.freeze({
  ratio: 0.2, slack: 50, window: 10_000 as Milliseconds, usedFraction: 0.5
})

/** Number of buckets in a window. */
const BUCKETS = 20

/** Numbers of requests and retries in one bucket of a window. */
interface IBucket {
  number: number
  requests: number
  retries: number
}

/**
 * Each node may retry a share of its own requests plus an equal part of the slack. The total over all nodes therefore stays within the
 * limit without any messages, also while nodes are partitioned. This prevents a retry storm when many endpoints fail at once: every
 * request would otherwise be sent again and double the load.
 */
export class RetryBudgetShare {
  private readonly _options: IRetryBudgetShareOptions
  private readonly _services = new Map<ServiceName, IBucket[]>()
  private _restartedAt = -Infinity

  constructor (options: Partial<IRetryBudgetShareOptions> = {}) {
    this._options = { ...DEFAULT_RETRY_BUDGET_SHARE_OPTIONS, ...options }
  }

  /** An earlier process of the node may have used the node's part of the slack; this process receives it gradually over one window. */
  public recordRestart (now: Timestamp): void {
    this._restartedAt = now
  }

  /** Counts a request for the service. */
  public recordRequest (service: ServiceName, now: Timestamp): void {
    this._bucket(service, now).requests++
  }

  /** Consumes one retry; false if none is left. `nodes`: number of nodes that share the slack. */
  public tryAcquire (service: ServiceName, nodes: number, now: Timestamp): boolean {
    const { ratio, usedFraction } = this._options
    const current = this._bucketNumber(now)
    const bucket = this._bucket(service, now)
    let requests = 0
    let retries = 0
    for (const candidate of this._services.get(service) ?? []) {
      if (candidate.number <= current - BUCKETS) continue
      requests += candidate.requests
      retries += candidate.retries
    }
    if (retries + 1 > usedFraction * ratio * requests + this._slack(nodes, now)) return false
    bucket.retries++
    return true
  }

  /** This node's part of the slack; always at least one retry unless the full part is smaller. */
  private _slack (nodes: number, now: Timestamp): number {
    const { slack, usedFraction, window } = this._options
    const full = usedFraction * slack / Math.max(1, nodes)
    const grown = Math.min(1, (now - this._restartedAt) / window) * full
    return Math.min(full, Math.max(1, grown))
  }

  private _bucket (service: ServiceName, now: Timestamp): IBucket {
    let buckets = this._services.get(service)
    if (buckets === undefined) {
      buckets = Array.from({ length: BUCKETS }, () => ({ number: -BUCKETS, requests: 0, retries: 0 }))
      this._services.set(service, buckets)
    }
    const number = this._bucketNumber(now)
    const bucket = buckets[number % BUCKETS] as IBucket
    if (bucket.number !== number) Object.assign(bucket, { number, requests: 0, retries: 0 })
    return bucket
  }

  private _bucketNumber (now: Timestamp): number {
    return Math.floor(now * BUCKETS / this._options.window)
  }
}
