/** Decides which request runs next at an endpoint, which waits, and which is turned away at once. */
import type { Milliseconds, Timestamp } from '../../common/Types.js'

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
  /** `displaced`: requests of lower rank that have no chance any more. */
  | { readonly kind: 'wait', readonly displaced: readonly TRequest[] }
  | { readonly kind: 'refuse', readonly retryAfter: Milliseconds }

/** Next request to start, and those whose time has run out. */
export interface INextRequest<TRequest> {
  readonly next: TRequest | undefined
  readonly expired: readonly TRequest[]
}

/** Share of its usual time that a request must have left before its deadline to be started. */
const NEEDED_SHARE = 0.6
/** Share of a slot's usual time that a running request is thought to have left. */
const RUNNING_LEFT_SHARE = 0.5

/**
 * Answers a load above what the endpoint can do: the most important requests first, among equals those that can still
 * be on time, by their objective, then the late ones. A request that cannot be served in time is refused when it
 * comes, with the time after which there should be room, and is not kept until its deadline.
 */
export class WaitingLine<TRequest extends IWaitingRequest> {
  private readonly _running = new Set<TRequest>()
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
    if (this._running.size < this._slots && this._waiting.length === 0) {
      if (!canFinish(request, now)) return { kind: 'refuse', retryAfter: 0 as Milliseconds }
      this._running.add(request)
      return { kind: 'start' }
    }
    const wait = this._waitBefore(request, now)
    if (!canFinish(request, now + wait as Timestamp)) return { kind: 'refuse', retryAfter: wait }
    this._waiting.push(request)
    return { kind: 'wait', displaced: this._takeHopeless(request.rank, now) }
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
    const expired = this._takeExpired(now)
    if (this._running.size >= this._slots) return { next: undefined, expired }
    const next = this._first(now)
    if (next === undefined) return { next, expired }
    this.withdraw(next)
    this._running.add(next)
    return { next, expired }
  }

  /** When room for a request of this rank and length is expected. */
  public expectedWait (request: Pick<TRequest, 'rank' | 'expected' | 'objectiveAt' | 'deadlineAt'>, now: Timestamp): Milliseconds {
    return this._waitBefore(request as TRequest, now)
  }

  private _takeExpired (now: Timestamp): readonly TRequest[] {
    return this._takeOut((request) => !canFinish(request, now))
  }

  /** Requests below `rank` that will not get a slot in time, now that another one goes before them. */
  private _takeHopeless (rank: number, now: Timestamp): readonly TRequest[] {
    return this._takeOut((request) => request.rank > rank && !canFinish(request, now + this._waitBefore(request, now) as Timestamp))
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

  /** Time until a slot is free for the request, by what runs and what waits before it. */
  private _waitBefore (request: TRequest, now: Timestamp): Milliseconds {
    let work = 0
    for (const running of this._running) work += running.expected * RUNNING_LEFT_SHARE
    for (const waiting of this._waiting) {
      if (waiting !== request && !isBefore(request, waiting, now)) work += waiting.expected
    }
    return Math.round(work / Math.max(1, this._slots)) as Milliseconds
  }
}

function canFinish (request: IWaitingRequest, startAt: Timestamp): boolean {
  return startAt + request.expected * NEEDED_SHARE < request.deadlineAt
}

function isBefore (left: IWaitingRequest, right: IWaitingRequest, now: Timestamp): boolean {
  if (left.rank !== right.rank) return left.rank < right.rank
  const isLeftOnTime = now + left.expected <= left.objectiveAt
  const isRightOnTime = now + right.expected <= right.objectiveAt
  if (isLeftOnTime !== isRightOnTime) return isLeftOnTime
  return left.objectiveAt < right.objectiveAt
}
