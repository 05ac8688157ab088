/** Observations of this node about one endpoint. */
import { decayedWeight } from '../../common/Decay.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import type { LocalityTier } from '../../routing/Types.js'
import type { AttemptOutcome, IEndpointLoad, IMeshCall, IMeshEndpoint, RefusalReason } from '../Types.js'

/** Half-life of the weight of a reported occupancy. */
const OCCUPANCY_HALF_LIFE_MS = 1_000
/** Half-life of the weight of a reported failure share. */
const FAILURE_HALF_LIFE_MS = 2_500
/** Weight of the newest round trip in the moving average. */
const ROUND_TRIP_WEIGHT = 0.2

/** Time without requests after a refusal that concerns the endpoint and not a single request, in milliseconds. */
const PAUSE_MS: Readonly<Partial<Record<RefusalReason, number>>> = Object.freeze({ draining: 1_000, 'no-endpoint': 500, unreachable: 300 })

/** Time over which a new endpoint's share of requests grows to its full size, since a process that has just started is slow. */
const NEWNESS_PERIOD_MS = 2_000

/** An attempt that this node has sent and that has no response yet. */
export interface IOutstandingAttempt { readonly startedAt: Timestamp }

/** Half-life of the excess of a service time over the typical one while there are no new reports, so that a slow endpoint is retried. */
const SERVICE_TIME_HALF_LIFE_MS = 4_000

/** Maximum time for which a refusal for lack of capacity blocks further requests; the load changes within tens of milliseconds. */
const MAXIMUM_FULL_MS = 150

/** State after the endpoint has refused a request of `rank` for lack of capacity; valid until the time `until`. */
interface IFullState {
  readonly rank: number
  readonly until: number
  readonly capacityExpectedAt: Timestamp
}

/** Combines observations of this node with load reports. Observations have precedence, and the weight of reports decays with their age. */
export class EndpointView {
  private readonly _outstanding = new Set<IOutstandingAttempt>()
  private _load: IEndpointLoad | undefined
  private _loadAt = 0
  private _outstandingAtLoad = 0
  private _roundTrip = 0
  private _pausedUntil = 0
  private _full: IFullState | undefined

  private readonly _appearedAt: Timestamp

  constructor (public target: IMeshEndpoint, public readonly tier: LocalityTier) {
    this._appearedAt = target.node.learntAt
  }

  /** Number of requests that the endpoint runs concurrently; 1 until its load is known. */
  public get slots (): number {
    return this.isObserved ? this.target.endpoint.slots : 1
  }

  /** True once the endpoint's node has reported a load. */
  public get isObserved (): boolean {
    return this._load !== undefined
  }

  /** Decreases from 1 to 0 in the first seconds after the endpoint or its node has appeared. */
  public newness (now: Timestamp): number {
    return Math.min(1, Math.max(0, 1 - (now - this._appearedAt) / NEWNESS_PERIOD_MS))
  }

  /** Number of attempts that this node has sent and that have no response yet. */
  public get outstanding (): number {
    return this._outstanding.size
  }

  /** Start times of the outstanding attempts. */
  public * startTimes (): Iterable<Timestamp> {
    for (const { startedAt } of this._outstanding) yield startedAt
  }

  /** Records an attempt that is sent now; pass the returned object to `end` when the attempt is finished. */
  public begin (now: Timestamp): IOutstandingAttempt {
    const attempt = { startedAt: now }
    this._outstanding.add(attempt)
    return attempt
  }

  public end (attempt: IOutstandingAttempt): void {
    this._outstanding.delete(attempt)
  }

  /** Service time estimate in the last report; undefined if not known yet. */
  public get serviceTime (): Milliseconds | undefined {
    return this._load === undefined || this._load.serviceTime === 0 ? undefined : this._load.serviceTime
  }

  /** Service time estimate. An excess over `typical` decays with the age of the report. Undefined if not known yet. */
  public serviceTimeAt (typical: number, now: Timestamp): number | undefined {
    const reported = this.serviceTime
    if (reported === undefined || reported < typical) return reported
    return typical + (reported - typical) * decayedWeight(now - this._loadAt, SERVICE_TIME_HALF_LIFE_MS)
  }

  /** Moving average of the round-trip time to the endpoint's node. */
  public get roundTrip (): Milliseconds {
    return this._roundTrip as Milliseconds
  }

  /** True while the endpoint gets no requests after a refusal. */
  public isPaused (now: Timestamp): boolean {
    return now < this._pausedUntil
  }

  /** When capacity is expected, if the endpoint has recently refused a request of this or a higher priority for lack of capacity. */
  public capacityExpectedAt (rank: number, now: Timestamp): Timestamp | undefined {
    return this._full !== undefined && now < this._full.until && rank >= this._full.rank ? this._full.capacityExpectedAt : undefined
  }

  /**
   * Records a refusal for lack of capacity. The refusal of a request that cannot meet its objective any more is ignored, since such a
   * request may be refused while other requests are still accepted.
   */
  public recordCapacityRefusal ({ rank, objectiveAt }: Pick<IMeshCall, 'rank' | 'objectiveAt'>, retryAfter: Milliseconds, now: Timestamp): void {
    if (now + (this.serviceTime ?? 0) > objectiveAt) return
    const isKnownForMoreImportant = this._full !== undefined && now < this._full.until && this._full.rank < rank
    if (isKnownForMoreImportant) return
    this._full = { rank, until: now + Math.min(MAXIMUM_FULL_MS, retryAfter), capacityExpectedAt: now + retryAfter as Timestamp }
  }

  /** True during the warm-up after the endpoint's start. */
  public isWarming (now: Timestamp): boolean {
    return now < this.target.node.learntAt + this.target.endpoint.warmUpLeft
  }

  /** Estimated number of running and queued requests at the endpoint; at least the outstanding attempts of this node. */
  public occupied (now: Timestamp): number {
    const reported = (this._load?.occupied ?? 0) * decayedWeight(now - this._loadAt, OCCUPANCY_HALF_LIFE_MS)
    return Math.max(this.outstanding, reported + Math.max(0, this.outstanding - this._outstandingAtLoad))
  }

  /** Estimated share of requests that the endpoint fails, 0 to 1. */
  public failureShare (now: Timestamp): number {
    return (this._load?.failurePercent ?? 0) / 100 * decayedWeight(now - this._loadAt, FAILURE_HALF_LIFE_MS)
  }

  /** Records the outcome of an attempt and its `duration`; call it after `end`. */
  public observe (outcome: AttemptOutcome, duration: Milliseconds, now: Timestamp): void {
    if (outcome.load !== undefined) this.observeLoad(outcome.load, now)
    if (outcome.load !== undefined) this._observeRoundTrip(duration - outcome.load.handled)
    if (outcome.kind === 'refused') this._pausedUntil = Math.max(this._pausedUntil, now + (PAUSE_MS[outcome.reason] ?? 0))
  }

  /** Records a load report of the endpoint's node. */
  public observeLoad (load: IEndpointLoad, now: Timestamp): void {
    // The load in a response still counts the request of this response.
    this._load = { ...load, occupied: Math.max(0, load.occupied) }
    this._loadAt = now
    this._outstandingAtLoad = this.outstanding
  }

  private _observeRoundTrip (duration: number): void {
    const sample = Math.max(0, duration)
    this._roundTrip = this._roundTrip === 0 ? sample : this._roundTrip + ROUND_TRIP_WEIGHT * (sample - this._roundTrip)
  }
}
