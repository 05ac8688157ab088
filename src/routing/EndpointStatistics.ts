/** What this process has observed of one endpoint. */
import { decayedWeight } from '../common/Decay.js'
import type { Timestamp } from '../common/Types.js'
import type { IRoutableEndpoint } from '../membership/Types.js'
import type { LocalityTier } from './Types.js'

/** How observations age. */
export interface IEndpointStatisticsOptions {
  /** Time in which the weight of a reported occupancy halves. */
  readonly occupancyHalfLifeMs: number
  /** Weight of the newest latency in the moving average. */
  readonly latencyWeight: number
  /** Weight of the newest latency in the average that tells what is usual. */
  readonly usualLatencyWeight: number
  /** Time for which an endpoint gets no call after it refused one because it drains or is not ready. */
  readonly refusalPauseMs: number
}

/** Defaults of `EndpointStatistics`. */
export const DEFAULT_ENDPOINT_STATISTICS_OPTIONS: IEndpointStatisticsOptions = Object.freeze({
  occupancyHalfLifeMs: 500,
  latencyWeight: 0.1,
  usualLatencyWeight: 0.005,
  refusalPauseMs: 1_000
})

/** Smallest share of its slots that an endpoint is given at the start of its ramp. */
const SLOW_START_FLOOR = 0.1

/** Answers, factor and excess from which a latency is unusual. */
const UNUSUAL_SAMPLES = 5
const UNUSUAL_FACTOR = 2
const UNUSUAL_FLOOR_MS = 2

/** Load, latency and failures of one endpoint as seen from here. Own observation outweighs what is reported. */
export class EndpointStatistics {
  /** Calls sent from here and not answered yet. */
  public outstanding = 0
  /** Failures since the last success. */
  public consecutiveFailures = 0
  /** Moving average of the time to an answer, in milliseconds. */
  public latencyMs = 0
  /** Slowly moving average of the same, across ejections. */
  public usualLatencyMs = 0
  /** Answers since the last ejection or return. */
  public samples = 0
  /** Time until which the endpoint gets no calls because it is an outlier; 0 if it is not ejected. */
  public ejectedUntil = 0
  /** Ejections in a row; grows the next one. */
  public ejections = 0
  private _answers = 0
  private _pausedUntil = 0
  private _reportedUsed = 0
  private _reportedAt = 0
  private _outstandingAtReport = 0

  constructor (
    public endpoint: IRoutableEndpoint,
    public readonly tier: LocalityTier,
    private readonly _seenAt: Timestamp,
    private readonly _options: IEndpointStatisticsOptions = DEFAULT_ENDPOINT_STATISTICS_OPTIONS
  ) {}

  /** True if the endpoint may be chosen, ejection aside. */
  public isOpen (now: Timestamp): boolean {
    return now >= this._pausedUntil
  }

  /** True while the endpoint is ejected. */
  public isEjected (now: Timestamp): boolean {
    return now < this.ejectedUntil
  }

  /** Takes the occupancy that an answer carried; a number beyond the endpoint's slots counts as full. */
  public reportOccupancy (used: number, now: Timestamp): void {
    this._reportedUsed = Math.min(Math.max(0, used), this.endpoint.slots)
    this._reportedAt = now
    this._outstandingAtReport = this.outstanding
  }

  /** Keeps new calls away for a moment, until the member view says the same. */
  public pause (now: Timestamp): void {
    this._pausedUntil = now + this._options.refusalPauseMs
  }

  /** Adds one latency to the moving average. */
  public addLatency (latencyMs: number): void {
    this.samples++
    const { latencyWeight, usualLatencyWeight } = this._options
    this.latencyMs = this.samples === 1 ? latencyMs : this.latencyMs + latencyWeight * (latencyMs - this.latencyMs)
    // A plain average until there are enough answers for the moving one.
    const weight = Math.max(usualLatencyWeight, 1 / ++this._answers)
    this.usualLatencyMs += weight * (latencyMs - this.usualLatencyMs)
  }

  /** True if the endpoint takes much longer than it used to; its peers tell whether that is its own fault. */
  public isSlowerThanUsual (): boolean {
    return this.samples >= UNUSUAL_SAMPLES && this.latencyMs > this.usualLatencyMs * UNUSUAL_FACTOR + UNUSUAL_FLOOR_MS
  }

  /** Calls that the endpoint is thought to run: never fewer than this process sent it. A report loses weight as it ages. */
  public estimatedLoad (now: Timestamp): number {
    // Whole calls only: an old report must not decide between endpoints that are otherwise alike.
    const reported = Math.round(this._reportedUsed * decayedWeight(now - this._reportedAt, this._options.occupancyHalfLifeMs))
    const sentSince = Math.max(0, this.outstanding - this._outstandingAtReport)
    return Math.max(this.outstanding, reported + sentSince)
  }

  /** Slots that the endpoint may be given now; fewer during its slow start, which lasts `slowStartMs`. */
  public usableSlots (slowStartMs: number, now: Timestamp): number {
    const age = Math.max(now - this.endpoint.since, now - this._seenAt)
    if (age >= slowStartMs) return this.endpoint.slots
    return this.endpoint.slots * Math.max(SLOW_START_FLOOR, age / slowStartMs)
  }
}
