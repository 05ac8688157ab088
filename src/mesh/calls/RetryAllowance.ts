/** This node's part of the repeats that the whole mesh may make. */
import type { Milliseconds, ServiceName, Timestamp } from '../../common/Types.js'

/** The limit that all nodes share. */
export interface IRetryAllowanceOptions {
  /** Repeats in a window, as a share of the requests in it. */
  readonly ratio: number
  /** Repeats in a window on top of the share, over all nodes. */
  readonly slack: number
  readonly window: Milliseconds
  /**
   * Part of both that is used. The rest covers calls that a repeated request makes itself, and windows that
   * lie differently than this node's.
   */
  readonly usedPart: number
}

/** Defaults of `RetryAllowance`. */
export const DEFAULT_RETRY_ALLOWANCE_OPTIONS: IRetryAllowanceOptions = Object.freeze({
  ratio: 0.2, slack: 50, window: 10_000 as Milliseconds, usedPart: 0.5
})

/** Parts of a window that are counted together. */
const BUCKETS = 20

/** Requests and repeats in one part of a window. */
interface IBucket {
  number: number
  requests: number
  repeats: number
}

/**
 * Each node may repeat a share of its own requests and an equal part of the slack, so that the sum keeps the limit
 * without any message, also while nodes are cut off. Answers failures of many endpoints at once, in which every
 * request would otherwise be sent again and double the load.
 */
export class RetryAllowance {
  private readonly _options: IRetryAllowanceOptions
  private readonly _services = new Map<ServiceName, IBucket[]>()
  private _restartedAt = -Infinity

  constructor (options: Partial<IRetryAllowanceOptions> = {}) {
    this._options = { ...DEFAULT_RETRY_ALLOWANCE_OPTIONS, ...options }
  }

  /** An earlier process of the node may have used its part up; this one comes into it over a window. */
  public noteRestart (now: Timestamp): void {
    this._restartedAt = now
  }

  /** Counts a request for the service. */
  public noteRequest (service: ServiceName, now: Timestamp): void {
    this._bucket(service, now).requests++
  }

  /** Takes one repeat; false if there is none left. `nodes`: nodes that share the slack. */
  public take (service: ServiceName, nodes: number, now: Timestamp): boolean {
    const { ratio, usedPart } = this._options
    const present = this._number(now)
    const bucket = this._bucket(service, now)
    let requests = 0
    let repeats = 0
    for (const candidate of this._services.get(service) ?? []) {
      if (candidate.number <= present - BUCKETS) continue
      requests += candidate.requests
      repeats += candidate.repeats
    }
    if (repeats + 1 > usedPart * ratio * requests + this._slack(nodes, now)) return false
    bucket.repeats++
    return true
  }

  /** Repeats beyond the share of the requests. A node never goes without its first one. */
  private _slack (nodes: number, now: Timestamp): number {
    const { slack, usedPart, window } = this._options
    const whole = usedPart * slack / Math.max(1, nodes)
    const grown = Math.min(1, (now - this._restartedAt) / window) * whole
    return Math.min(whole, Math.max(1, grown))
  }

  private _bucket (service: ServiceName, now: Timestamp): IBucket {
    let buckets = this._services.get(service)
    if (buckets === undefined) {
      buckets = Array.from({ length: BUCKETS }, () => ({ number: -BUCKETS, requests: 0, repeats: 0 }))
      this._services.set(service, buckets)
    }
    const number = this._number(now)
    const bucket = buckets[number % BUCKETS] as IBucket
    if (bucket.number !== number) Object.assign(bucket, { number, requests: 0, repeats: 0 })
    return bucket
  }

  private _number (now: Timestamp): number {
    return Math.floor(now * BUCKETS / this._options.window)
  }
}
