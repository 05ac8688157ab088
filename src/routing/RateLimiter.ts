/** Enforces the rate limits of documents at this node. */
import type { Timestamp } from '../common/Types.js'
import type { ILimitResource } from '../documents/Types.js'

const SECOND_MS = 1_000

interface IBucket {
  tokens: number
  filledAt: Timestamp
}

/** Token bucket for each limit resource of active documents; its capacity is the rate of one second. */
export class RateLimiter {
  private readonly _buckets = new WeakMap<ILimitResource, IBucket>()

  /** Consumes a token. Returns false if the rate limit of the resource is exceeded. */
  public admit (limit: ILimitResource, now: Timestamp): boolean {
    if (limit.rate === 0) return true
    const bucket = this._bucket(limit, now)
    const gained = Math.max(0, now - bucket.filledAt) * limit.rate / SECOND_MS
    bucket.tokens = Math.min(limit.rate, bucket.tokens + gained)
    bucket.filledAt = now
    if (bucket.tokens < 1) return false
    bucket.tokens--
    return true
  }

  private _bucket (limit: ILimitResource, now: Timestamp): IBucket {
    const known = this._buckets.get(limit)
    if (known !== undefined) return known
    const bucket: IBucket = { tokens: limit.rate, filledAt: now }
    this._buckets.set(limit, bucket)
    return bucket
  }
}
