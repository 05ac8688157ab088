/** Admission queue of an endpoint: decides which request runs next, which one is queued, and which one is refused at once. */
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { AcceptedWork } from './AcceptedWork.js'

/** Properties of a request on which its admission depends. */
export interface IQueuedRequest {
  /** Importance of the request; 0 is the highest rank. */
  readonly rank: number
  /** Expected service time. */
  readonly expected: Milliseconds
  /** Time by which the response should be complete; a response between this time and the deadline is late but still useful. */
  readonly objectiveAt: Timestamp
  readonly deadlineAt: Timestamp
}

/** Decision on an arriving request. */
export type QueueDecision<TRequest> =
  | { readonly kind: 'start' }
  /** `displaced`: queued requests that can no longer finish in time. */
  | { readonly kind: 'wait', readonly displaced: readonly TRequest[] }
  | { readonly kind: 'refuse', readonly retryAfter: Milliseconds }

/** Next request to start, and the requests removed because they can no longer finish in time. */
export interface IDequeueResult<TRequest> {
  readonly next: TRequest | undefined
  readonly expired: readonly TRequest[]
}

/** A request is started only if at least this share of its expected service time remains until its deadline. */
const MINIMUM_SERVICE_TIME_SHARE = 0.6
/** Upper bound of the estimated share of slots that overtaking requests occupy; keeps the estimated wait finite. */
const MAXIMUM_OVERTAKEN_SHARE = 0.9

/**
 * Orders requests under overload: by rank, within a rank first those that can still meet their objective, by objective,
 * then the late ones. A request that cannot be served before its deadline is refused as soon as this is known, on arrival
 * or while it is queued, with the time after which capacity is expected. Under sustained overload late requests are
 * overtaken indefinitely; the rate of recently accepted work with priority over them shows this long before their deadline.
 */
export class RequestQueue<TRequest extends IQueuedRequest> {
  private readonly _running = new Set<TRequest>()
  private readonly _accepted = new AcceptedWork()
  private _waiting: TRequest[] = []
  private _slots = 0

  /** Number of running requests. */
  public get running (): number {
    return this._running.size
  }

  /** Number of queued requests. */
  public get waiting (): number {
    return this._waiting.length
  }

  /** Sets how many requests may run concurrently. A smaller number does not interrupt running requests. */
  public resize (slots: number): void {
    this._slots = slots
  }

  /** Decides on an arriving request. After the decision `start` the request occupies a slot until `release`. */
  public offer (request: TRequest, now: Timestamp): QueueDecision<TRequest> {
    if (this._isUnservable(request, now)) return { kind: 'refuse', retryAfter: this.expectedWait(request, now) }
    this._accepted.record(request.rank, request.expected, now)
    if (this._running.size < this._slots && this._waiting.length === 0) {
      this._running.add(request)
      return { kind: 'start' }
    }
    this._waiting.push(request)
    return { kind: 'wait', displaced: this._removeUnservable(now, request) }
  }

  /** Frees the slot of a running request. */
  public release (request: TRequest): void {
    this._running.delete(request)
  }

  /** Removes a queued request; false if the request is not queued. */
  public withdraw (request: TRequest): boolean {
    const position = this._waiting.indexOf(request)
    if (position < 0) return false
    this._waiting.splice(position, 1)
    return true
  }

  /** Removes and returns all queued requests. */
  public withdrawAll (): readonly TRequest[] {
    const removed = this._waiting
    this._waiting = []
    return removed
  }

  /** Dequeues the next request if a slot is free; the request occupies the slot until `release`. */
  public next (now: Timestamp): IDequeueResult<TRequest> {
    const expired = this._removeUnservable(now)
    if (this._running.size >= this._slots) return { next: undefined, expired }
    const next = this._findNext(now)
    if (next === undefined) return { next, expired }
    this.withdraw(next)
    this._running.add(next)
    return { next, expired }
  }

  /** Expected time until the request gets a slot, from the running requests and the queued requests with priority over it. */
  public expectedWait (request: TRequest, now: Timestamp): Milliseconds {
    let work = 0
    let isAfterRequest = false
    for (const waiting of this._waiting) {
      if (waiting === request) isAfterRequest = true
      // Of two requests with equal priority the earlier arrival is served first.
      else if (isAfterRequest ? hasPriorityOver(waiting, request, now) : !hasPriorityOver(request, waiting, now)) work += waiting.expected
    }
    return Math.round(this._timeUntilFreeSlot() + work / Math.max(1, this._slots)) as Milliseconds
  }

  /** Removes queued requests that will not get a slot in time. `newest` is exempt, since it was checked on arrival. */
  private _removeUnservable (now: Timestamp, newest?: TRequest): readonly TRequest[] {
    return this._removeWhere((request) => request !== newest && this._isUnservable(request, now))
  }

  private _isUnservable (request: TRequest, now: Timestamp): boolean {
    return !canFinish(request, now + this._expectedWaitWithOvertaking(request, now) as Timestamp)
  }

  private _removeWhere (shouldRemove: (request: TRequest) => boolean): readonly TRequest[] {
    const removed = this._waiting.filter(shouldRemove)
    if (removed.length > 0) this._waiting = this._waiting.filter((request) => !removed.includes(request))
    return removed
  }

  private _findNext (now: Timestamp): TRequest | undefined {
    let best: TRequest | undefined
    for (const request of this._waiting) {
      if (best === undefined || hasPriorityOver(request, best, now)) best = request
    }
    return best
  }

  /** Expected wait, extended by future arrivals that will have priority over the request. */
  private _expectedWaitWithOvertaking (request: TRequest, now: Timestamp): number {
    const wait = this.expectedWait(request, now)
    const waitIfOnTime = wait / this._remainingSlotShare(request.rank, true, now)
    return isWithinObjective(request, now + waitIfOnTime) ? waitIfOnTime : wait / this._remainingSlotShare(request.rank, false, now)
  }

  /** Expected time until the first running request finishes, if each running request is at a random point of its service time. */
  private _timeUntilFreeSlot (): number {
    if (this._running.size < this._slots) return 0
    let work = 0
    for (const running of this._running) work += running.expected
    return work / Math.max(1, this._running.size) / (this._slots + 1)
  }

  /** Share of the slots not occupied by requests that overtake a request of this rank. */
  private _remainingSlotShare (rank: number, isOnTime: boolean, now: Timestamp): number {
    return 1 - Math.min(MAXIMUM_OVERTAKEN_SHARE, this._accepted.busySlots(rank, isOnTime, now) / Math.max(1, this._slots))
  }
}

/** Whether a request that starts at `startAt` is expected to finish by its objective. */
function isWithinObjective (request: IQueuedRequest, startAt: number): boolean {
  return startAt + request.expected <= request.objectiveAt
}

function canFinish (request: IQueuedRequest, startAt: Timestamp): boolean {
  return startAt + request.expected * MINIMUM_SERVICE_TIME_SHARE < request.deadlineAt
}

function hasPriorityOver (left: IQueuedRequest, right: IQueuedRequest, now: Timestamp): boolean {
  if (left.rank !== right.rank) return left.rank < right.rank
  const isLeftOnTime = isWithinObjective(left, now)
  const isRightOnTime = isWithinObjective(right, now)
  if (isLeftOnTime !== isRightOnTime) return isLeftOnTime
  return left.objectiveAt < right.objectiveAt
}
