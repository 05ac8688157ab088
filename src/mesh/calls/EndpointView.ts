/** What this node has observed of one endpoint. */
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import type { LocalityTier } from '../../routing/Types.js'
import type { AttemptOutcome, IEndpointLoad, IMeshEndpoint, RefusalReason } from '../Types.js'

/** Time in which the weight of a reported occupancy halves. */
const OCCUPANCY_HALF_LIFE_MS = 1_000
/** Time in which the weight of a reported share of failures halves. */
const FAILURE_HALF_LIFE_MS = 2_500
/** Weight of the newest round trip in the moving average. */
const ROUND_TRIP_WEIGHT = 0.2

/** How long an endpoint gets no requests after a refusal that is not about one request, in milliseconds. */
const PAUSE_MS: Readonly<Partial<Record<RefusalReason, number>>> = Object.freeze({ draining: 1_000, 'no-endpoint': 500, unreachable: 300 })

/** Own observation outweighs what is reported, and reports lose weight as they age. */
export class EndpointView {
  /** Attempts sent from here and not answered yet. */
  public outstanding = 0
  private _load: IEndpointLoad | undefined
  private _loadAt = 0
  private _outstandingAtLoad = 0
  private _roundTrip = 0
  private _pausedUntil = 0

  constructor (public target: IMeshEndpoint, public readonly tier: LocalityTier) {}

  /** Requests that the endpoint runs at once. */
  public get slots (): number {
    return this.target.endpoint.slots
  }

  /** Usual time in a slot; undefined if not known yet. */
  public get serviceTime (): Milliseconds | undefined {
    return this._load === undefined || this._load.serviceTime === 0 ? undefined : this._load.serviceTime
  }

  /** Usual time on the way to the endpoint's node and back. */
  public get roundTrip (): Milliseconds {
    return this._roundTrip as Milliseconds
  }

  /** True while the endpoint gets no requests after a refusal. */
  public isPaused (now: Timestamp): boolean {
    return now < this._pausedUntil
  }

  /** True for some seconds after the endpoint's start. */
  public isWarming (now: Timestamp): boolean {
    return now < this.target.node.learntAt + this.target.endpoint.warmUpLeft
  }

  /** Requests that run or wait there, never fewer than this node sent. */
  public occupied (now: Timestamp): number {
    const age = Math.max(0, now - this._loadAt)
    const reported = (this._load?.occupied ?? 0) * 2 ** (-age / OCCUPANCY_HALF_LIFE_MS)
    return Math.max(this.outstanding, reported + Math.max(0, this.outstanding - this._outstandingAtLoad))
  }

  /** Share of requests that the endpoint fails, 0 to 1. */
  public failureShare (now: Timestamp): number {
    const age = Math.max(0, now - this._loadAt)
    return (this._load?.failurePercent ?? 0) / 100 * 2 ** (-age / FAILURE_HALF_LIFE_MS)
  }

  /** Takes the end of an attempt that took `duration`; call it after `outstanding` was lowered. */
  public observe (outcome: AttemptOutcome, duration: Milliseconds, now: Timestamp): void {
    if (outcome.load !== undefined) this.observeLoad(outcome.load, now)
    if (outcome.load !== undefined) this._observeRoundTrip(duration - outcome.load.handled)
    if (outcome.kind === 'refused') this._pausedUntil = Math.max(this._pausedUntil, now + (PAUSE_MS[outcome.reason] ?? 0))
  }

  /** Takes what the endpoint's node says of its load. */
  public observeLoad (load: IEndpointLoad, now: Timestamp): void {
    // A request that is over is still counted by the answer that ends it.
    this._load = { ...load, occupied: Math.max(0, load.occupied) }
    this._loadAt = now
    this._outstandingAtLoad = this.outstanding
  }

  private _observeRoundTrip (duration: number): void {
    const sample = Math.max(0, duration)
    this._roundTrip = this._roundTrip === 0 ? sample : this._roundTrip + ROUND_TRIP_WEIGHT * (sample - this._roundTrip)
  }
}
