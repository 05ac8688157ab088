/** Statistics of one endpoint, observed by this process. */
import { decayedWeight } from '../common/Decay.js'
import type { Timestamp } from '../common/Types.js'
import type { IRoutableEndpoint } from '../membership/Types.js'
import type { LocalityTier } from './Types.js'

/** Decay and averaging of observations. */
export interface IEndpointStatisticsOptions {
  /** Half-life of the weight of a reported occupancy. */
  readonly occupancyHalfLifeMs: number
  /** Weight of the newest latency in the moving average. */
  readonly latencyWeight: number
  /** Weight of the newest latency in the long-term average. */
  readonly usualLatencyWeight: number
  /** Time without calls to an endpoint after it refused one because it was draining or not ready. */
  readonly refusalPauseMs: number
}

/** Defaults of `EndpointStatistics`. */
export const DEFAULT_ENDPOINT_STATISTICS_OPTIONS: IEndpointStatisticsOptions = Object.freeze({
  occupancyHalfLifeMs: 500,
  latencyWeight: 0.1,
  usualLatencyWeight: 0.005,
  refusalPauseMs: 1_000
})

/** Share of its slots that an endpoint may use at the beginning of its slow start. */
const MINIMUM_SLOW_START_SHARE = 0.1

/** Minimum number of responses, factor and difference at which an endpoint is slower than its long-term average. */
const MINIMUM_SLOWDOWN_SAMPLES = 5
const SLOWDOWN_FACTOR = 2
const SLOWDOWN_FLOOR_MS = 2

/** Load, latency and failures of one endpoint. The outstanding calls of this process are a lower bound of the estimated load. */
export class EndpointStatistics {
  /** Calls from this process without a final outcome. */
  public outstanding = 0
  /** Failures since the last success. */
  public consecutiveFailures = 0
  /** Moving average of the time until the head of the response, in milliseconds. */
  public latencyMs = 0
  /** Long-term moving average of the same latency; not reset by ejections. */
  public usualLatencyMs = 0
  /** Responses since the last ejection. */
  public samples = 0
  /** Time until which the endpoint gets no calls because it is an outlier; 0 if it is not ejected. */
  public ejectedUntil = 0
  /** Consecutive ejections; each doubles the duration of the next. */
  public ejections = 0
  private _responses = 0
  private _pausedUntil = 0
  private _reportedUsed = 0
  private _reportedAt = 0
  private _outstandingAtReport = 0

  constructor (
    public endpoint: IRoutableEndpoint,
    public readonly tier: LocalityTier,
    private readonly _firstSeenAt: Timestamp,
    private readonly _options: IEndpointStatisticsOptions = DEFAULT_ENDPOINT_STATISTICS_OPTIONS
  ) {}

  /** True if calls to the endpoint are not paused; does not consider ejection. */
  public isOpen (now: Timestamp): boolean {
    return now >= this._pausedUntil
  }

  /** True while the endpoint is ejected. */
  public isEjected (now: Timestamp): boolean {
    return now < this.ejectedUntil
  }

  /** Records the occupancy reported in a response; values are limited to the slots of the endpoint. */
  public reportOccupancy (used: number, now: Timestamp): void {
    this._reportedUsed = Math.min(Math.max(0, used), this.endpoint.slots)
    this._reportedAt = now
    this._outstandingAtReport = this.outstanding
  }

  /** Pauses new calls for `refusalPauseMs`, until the member view reports the state of the endpoint. */
  public pause (now: Timestamp): void {
    this._pausedUntil = now + this._options.refusalPauseMs
  }

  /** Adds one latency to both moving averages. */
  public addLatency (latencyMs: number): void {
    this.samples++
    const { latencyWeight, usualLatencyWeight } = this._options
    this.latencyMs = this.samples === 1 ? latencyMs : this.latencyMs + latencyWeight * (latencyMs - this.latencyMs)
    // Plain average until there are enough responses for the moving average.
    const weight = Math.max(usualLatencyWeight, 1 / ++this._responses)
    this.usualLatencyMs += weight * (latencyMs - this.usualLatencyMs)
  }

  /**
   * True if the endpoint is much slower than its long-term average; only a comparison with peers shows whether the
   * endpoint is the cause.
   */
  public isSlowerThanUsual (): boolean {
    return this.samples >= MINIMUM_SLOWDOWN_SAMPLES && this.latencyMs > this.usualLatencyMs * SLOWDOWN_FACTOR + SLOWDOWN_FLOOR_MS
  }

  /**
   * Estimated number of calls at the endpoint: at least the outstanding calls of this process. The weight of a reported
   * occupancy decays with its age.
   */
  public estimatedLoad (now: Timestamp): number {
    // Rounded, so that the remainder of an old report does not decide between otherwise equal endpoints.
    const reported = Math.round(this._reportedUsed * decayedWeight(now - this._reportedAt, this._options.occupancyHalfLifeMs))
    const sentSince = Math.max(0, this.outstanding - this._outstandingAtReport)
    return Math.max(this.outstanding, reported + sentSince)
  }

  /** Slots that may be used now; fewer during the slow start, which lasts `slowStartMs`. */
  public usableSlots (slowStartMs: number, now: Timestamp): number {
    const age = Math.max(now - this.endpoint.since, now - this._firstSeenAt)
    if (age >= slowStartMs) return this.endpoint.slots
    return this.endpoint.slots * Math.max(MINIMUM_SLOW_START_SHARE, age / slowStartMs)
  }
}
