/** Decides which request runs next at an endpoint, which waits, and which is turned away at once. */
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { AcceptedWork } from './AcceptedWork.js'

/** A request as far as the decision needs it. */
export interface IWaitingRequest {
  /** 0 is the most important. */
  readonly rank: number
  /** Usual time in a slot. */
  readonly expected: Milliseconds
  /** Until then the answer is worth most. */
  readonly objectiveAt: Timestamp
  readonly deadlineAt: Timestamp
}

/** What is done with a request that arrives. */
export type LineDecision<TRequest> =
  | { readonly kind: 'start' }
  /** `displaced`: other requests that have no chance any more. */
  | { readonly kind: 'wait', readonly displaced: readonly TRequest[] }
  | { readonly kind: 'refuse', readonly retryAfter: Milliseconds }

/** Next request to start, and those whose time has run out. */
export interface INextRequest<TRequest> {
  readonly next: TRequest | undefined
  readonly expired: readonly TRequest[]
}

/** Share of its usual time that a request must have left before its deadline to be started. */
const NEEDED_SHARE = 0.6
/** Most of the slots that requests which overtake are thought to take, so that a wait stays finite. */
const MAXIMUM_OVERTAKEN_SHARE = 0.9

/**
 * Answers a load above what the endpoint can do: the most important requests first, among equals those that can still
 * be on time, by their objective, then the late ones. A request that cannot be served in time is refused as soon as that
 * shows, when it comes or while it waits, with the time after which there should be room. Under a steady overload the
 * late ones are overtaken without end; what lately arrived ahead of them tells so long before their deadline.
 */
export class WaitingLine<TRequest extends IWaitingRequest> {
  private readonly _running = new Set<TRequest>()
  private readonly _accepted = new AcceptedWork()
  private _waiting: TRequest[] = []
  private _slots = 0

  /** Requests that run. */
  public get running (): number {
    return this._running.size
  }

  /** Requests that wait. */
  public get waiting (): number {
    return this._waiting.length
  }

  /** Sets how many requests run at once. Running ones go on if it shrinks. */
  public resize (slots: number): void {
    this._slots = slots
  }

  /** Decides about a request that arrives; `start` occupies a slot until `release`. */
  public offer (request: TRequest, now: Timestamp): LineDecision<TRequest> {
    if (this._isHopeless(request, now)) return { kind: 'refuse', retryAfter: this.expectedWait(request, now) }
    this._accepted.record(request.rank, request.expected, now)
    if (this._running.size < this._slots && this._waiting.length === 0) {
      this._running.add(request)
      return { kind: 'start' }
    }
    this._waiting.push(request)
    return { kind: 'wait', displaced: this._takeHopeless(now, request) }
  }

  /** Frees the slot of a request that ran. */
  public release (request: TRequest): void {
    this._running.delete(request)
  }

  /** Takes out a request that waits; false if it does not. */
  public withdraw (request: TRequest): boolean {
    const position = this._waiting.indexOf(request)
    if (position < 0) return false
    this._waiting.splice(position, 1)
    return true
  }

  /** Takes out every request that waits. */
  public withdrawAll (): readonly TRequest[] {
    const all = this._waiting
    this._waiting = []
    return all
  }

  /** The request to start now, if a slot is free; it occupies the slot until `release`. */
  public next (now: Timestamp): INextRequest<TRequest> {
    const expired = this._takeHopeless(now)
    if (this._running.size >= this._slots) return { next: undefined, expired }
    const next = this._first(now)
    if (next === undefined) return { next, expired }
    this.withdraw(next)
    this._running.add(next)
    return { next, expired }
  }

  /** When room for the request is expected, by what runs and what waits before it now. */
  public expectedWait (request: TRequest, now: Timestamp): Milliseconds {
    let work = 0
    let isBehind = false
    for (const waiting of this._waiting) {
      if (waiting === request) isBehind = true
      // Of two that are alike the one that came first goes first.
      else if (isBehind ? isBefore(waiting, request, now) : !isBefore(request, waiting, now)) work += waiting.expected
    }
    return Math.round(this._untilSlotIsFree() + work / Math.max(1, this._slots)) as Milliseconds
  }

  /** Requests that will not get a slot in time; `newest` was judged when it came. */
  private _takeHopeless (now: Timestamp, newest?: TRequest): readonly TRequest[] {
    return this._takeOut((request) => request !== newest && this._isHopeless(request, now))
  }

  private _isHopeless (request: TRequest, now: Timestamp): boolean {
    return !canFinish(request, now + this._waitWithOvertaking(request, now) as Timestamp)
  }

  private _takeOut (isOut: (request: TRequest) => boolean): readonly TRequest[] {
    const out = this._waiting.filter(isOut)
    if (out.length > 0) this._waiting = this._waiting.filter((request) => !out.includes(request))
    return out
  }

  private _first (now: Timestamp): TRequest | undefined {
    let best: TRequest | undefined
    for (const request of this._waiting) {
      if (best === undefined || isBefore(request, best, now)) best = request
    }
    return best
  }

  /** The expected wait, drawn out by requests that have yet to come and will go first. */
  private _waitWithOvertaking (request: TRequest, now: Timestamp): number {
    const wait = this.expectedWait(request, now)
    const unlessLate = wait / this._shareLeft(request.rank, true, now)
    return isOnTimeAt(request, now + unlessLate) ? unlessLate : wait / this._shareLeft(request.rank, false, now)
  }

  /** Time until the first of the running requests ends; they are at any point of their time. */
  private _untilSlotIsFree (): number {
    if (this._running.size < this._slots) return 0
    let work = 0
    for (const running of this._running) work += running.expected
    return work / Math.max(1, this._running.size) / (this._slots + 1)
  }

  /** Share of the slots that is left by requests that overtake one of this rank. */
  private _shareLeft (rank: number, isOnTime: boolean, now: Timestamp): number {
    return 1 - Math.min(MAXIMUM_OVERTAKEN_SHARE, this._accepted.slotsBusy(rank, isOnTime, now) / Math.max(1, this._slots))
  }
}

/** Whether a request that starts then is answered while its answer is worth most. */
function isOnTimeAt (request: IWaitingRequest, startAt: number): boolean {
  return startAt + request.expected <= request.objectiveAt
}

function canFinish (request: IWaitingRequest, startAt: Timestamp): boolean {
  return startAt + request.expected * NEEDED_SHARE < request.deadlineAt
}

function isBefore (left: IWaitingRequest, right: IWaitingRequest, now: Timestamp): boolean {
  if (left.rank !== right.rank) return left.rank < right.rank
  const isLeftOnTime = isOnTimeAt(left, now)
  const isRightOnTime = isOnTimeAt(right, now)
  if (isLeftOnTime !== isRightOnTime) return isLeftOnTime
  return left.objectiveAt < right.objectiveAt
}
