/** What this node has observed of one endpoint. */
import { decayedWeight } from '../../common/Decay.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import type { LocalityTier } from '../../routing/Types.js'
import type { AttemptOutcome, IEndpointLoad, IMeshCall, IMeshEndpoint, RefusalReason } from '../Types.js'

/** Time in which the weight of a reported occupancy halves. */
const OCCUPANCY_HALF_LIFE_MS = 1_000
/** Time in which the weight of a reported share of failures halves. */
const FAILURE_HALF_LIFE_MS = 2_500
/** Weight of the newest round trip in the moving average. */
const ROUND_TRIP_WEIGHT = 0.2

/** How long an endpoint gets no requests after a refusal that is not about one request, in milliseconds. */
const PAUSE_MS: Readonly<Partial<Record<RefusalReason, number>>> = Object.freeze({ draining: 1_000, 'no-endpoint': 500, unreachable: 300 })

/** Time in which the share of requests of an endpoint that has appeared grows: a process that has just started is slow. */
const NEW_MS = 2_000

/** An attempt that was sent from here and is not answered yet. */
export interface IOutstandingAttempt { readonly startedAt: Timestamp }

/** Time in which the distance of an endpoint's time from that of the others halves in the absence of news, so that it is tried again. */
const SERVICE_TIME_HALF_LIFE_MS = 4_000

/** Longest time for which a refusal for want of room keeps further requests away; the load changes within tens of milliseconds. */
const LONGEST_FULL_MS = 150

/** The endpoint had no room for a request of this rank. */
interface IFullState {
  readonly rank: number
  readonly until: number
  readonly roomAt: Timestamp
}

/** Own observation outweighs what is reported, and reports lose weight as they age. */
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

  /** Requests that the endpoint runs at once; one as long as nothing is known of it. */
  public get slots (): number {
    return this.isObserved ? this.target.endpoint.slots : 1
  }

  /** True once its node has told of its load. */
  public get isObserved (): boolean {
    return this._load !== undefined
  }

  /** Falls from 1 to 0 in the first seconds after the endpoint or its node has appeared. */
  public newness (now: Timestamp): number {
    return Math.min(1, Math.max(0, 1 - (now - this._appearedAt) / NEW_MS))
  }

  /** Attempts sent from here and not answered yet. */
  public get outstanding (): number {
    return this._outstanding.size
  }

  /** Start of each of them. */
  public * startTimes (): Iterable<Timestamp> {
    for (const { startedAt } of this._outstanding) yield startedAt
  }

  /** Notes an attempt that is sent now; give the result to `end` when it is over. */
  public begin (now: Timestamp): IOutstandingAttempt {
    const attempt = { startedAt: now }
    this._outstanding.add(attempt)
    return attempt
  }

  public end (attempt: IOutstandingAttempt): void {
    this._outstanding.delete(attempt)
  }

  /** Usual time in a slot as it was reported last; undefined if not known yet. */
  public get serviceTime (): Milliseconds | undefined {
    return this._load === undefined || this._load.serviceTime === 0 ? undefined : this._load.serviceTime
  }

  /** Usual time in a slot, the nearer to `typical` the older the report; undefined if not known yet. */
  public serviceTimeAt (typical: number, now: Timestamp): number | undefined {
    const reported = this.serviceTime
    if (reported === undefined || reported < typical) return reported
    return typical + (reported - typical) * decayedWeight(now - this._loadAt, SERVICE_TIME_HALF_LIFE_MS)
  }

  /** Usual time on the way to the endpoint's node and back. */
  public get roundTrip (): Milliseconds {
    return this._roundTrip as Milliseconds
  }

  /** True while the endpoint gets no requests after a refusal. */
  public isPaused (now: Timestamp): boolean {
    return now < this._pausedUntil
  }

  /** When room is expected, if the endpoint has just refused a request of this rank or a more important one for want of it. */
  public roomAt (rank: number, now: Timestamp): Timestamp | undefined {
    return this._full !== undefined && now < this._full.until && rank >= this._full.rank ? this._full.roomAt : undefined
  }

  /** Takes a refusal for want of room. One that is late already may be refused while others still find room, and says nothing. */
  public noteFull ({ rank, objectiveAt }: Pick<IMeshCall, 'rank' | 'objectiveAt'>, retryAfter: Milliseconds, now: Timestamp): void {
    if (now + (this.serviceTime ?? 0) > objectiveAt) return
    const isKnownForMoreImportant = this._full !== undefined && now < this._full.until && this._full.rank < rank
    if (isKnownForMoreImportant) return
    this._full = { rank, until: now + Math.min(LONGEST_FULL_MS, retryAfter), roomAt: now + retryAfter as Timestamp }
  }

  /** True for some seconds after the endpoint's start. */
  public isWarming (now: Timestamp): boolean {
    return now < this.target.node.learntAt + this.target.endpoint.warmUpLeft
  }

  /** Requests that run or wait there, never fewer than this node sent. */
  public occupied (now: Timestamp): number {
    const reported = (this._load?.occupied ?? 0) * decayedWeight(now - this._loadAt, OCCUPANCY_HALF_LIFE_MS)
    return Math.max(this.outstanding, reported + Math.max(0, this.outstanding - this._outstandingAtLoad))
  }

  /** Share of requests that the endpoint fails, 0 to 1. */
  public failureShare (now: Timestamp): number {
    return (this._load?.failurePercent ?? 0) / 100 * decayedWeight(now - this._loadAt, FAILURE_HALF_LIFE_MS)
  }

  /** Takes the end of an attempt that took `duration`; call it after `end`. */
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
