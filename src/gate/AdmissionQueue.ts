/** Queue of requests waiting for a slot of one endpoint: bounded, ordered by class and then by deadline. */
import type { IClockService } from '../common/Services.js'
import type { IDisposable, Milliseconds, RequestId, Timestamp } from '../common/Types.js'
import type { RequestClass } from '../documents/Types.js'
import type { SlotCounter } from './SlotCounter.js'
import type { NotRunReason } from './Types.js'

/** A request for a slot. */
export interface IAdmissionRequest {
  readonly requestId: RequestId
  readonly class: RequestClass
  /** Latest time at which the request can start and is still expected to finish before its deadline. */
  readonly startBy: Timestamp
  /** True if no other request may run in the endpoint at the same time. */
  readonly isIsolated: boolean
}

/** Limits of the queue, from the pool resource. */
export interface IQueueBounds {
  readonly length: number
  readonly timeout: Milliseconds
}

/** Undefined if a slot was granted, otherwise the reason of the refusal. */
export type Admission = NotRunReason | undefined

interface IWaitingRequest extends IAdmissionRequest {
  readonly timer: IDisposable
  readonly decide: (admission: Admission) => void
}

/** Precedence of the request classes in the queue; a class with a smaller value comes first. */
const CLASS_RANK: Readonly<Record<RequestClass, number>> = Object.freeze({ critical: 0, normal: 1, background: 2 })

/** Negative if `first` precedes `second` in the queue. */
function compareRequests (first: IAdmissionRequest, second: IAdmissionRequest): number {
  return CLASS_RANK[first.class] - CLASS_RANK[second.class] || first.startBy - second.startBy
}

/** Grants the slots of one endpoint. */
export class AdmissionQueue {
  private readonly _waiting: IWaitingRequest[] = []
  private _bounds: IQueueBounds = { length: 0, timeout: 0 as Milliseconds }

  constructor (private readonly _slots: SlotCounter, private readonly _clock: IClockService) {}

  /** Number of queued requests. */
  public get length (): number {
    return this._waiting.length
  }

  public resize (bounds: IQueueBounds): void {
    this._bounds = bounds
  }

  /** Grants or refuses a slot immediately, or queues the request and returns a promise of the decision. */
  public admit (request: IAdmissionRequest, now: Timestamp): Admission | Promise<Admission> {
    if (request.startBy < now) return 'deadline'
    if (this._waiting.length === 0 && this._slots.acquire(request.isIsolated)) return undefined
    if (!this._ensureCapacity(request)) return 'overloaded'
    return new Promise((resolve) => { this._insert(request, now, resolve) })
  }

  /** Removes a request from the queue and refuses it; false if it is not queued. */
  public refuse (requestId: RequestId, reason: NotRunReason): boolean {
    const position = this._waiting.findIndex((candidate) => candidate.requestId === requestId)
    if (position < 0) return false
    this._decideAt(position, reason)
    return true
  }

  /** Refuses every queued request. */
  public refuseAll (reason: NotRunReason): void {
    while (this._waiting.length > 0) this._decideAt(this._waiting.length - 1, reason)
  }

  /** Releases a slot and grants free slots to queued requests. */
  public release (now: Timestamp): void {
    this._slots.release()
    this.grant(now)
  }

  /** Grants free slots to queued requests, in order. */
  public grant (now: Timestamp): void {
    let first = this._waiting[0]
    while (first !== undefined) {
      if (first.startBy < now) this._decideAt(0, 'deadline')
      else if (this._slots.acquire(first.isIsolated)) this._decideAt(0, undefined)
      else return
      first = this._waiting[0]
    }
  }

  /**
   * Returns whether `request` can be queued. If the queue is full, the last queued request is shed, unless `request` would itself
   * be the last.
   */
  private _ensureCapacity (request: IAdmissionRequest): boolean {
    if (this._waiting.length < this._bounds.length) return true
    const last = this._waiting.at(-1)
    if (last === undefined || compareRequests(last, request) <= 0) return false
    this._decideAt(this._waiting.length - 1, 'overloaded')
    return true
  }

  private _insert (request: IAdmissionRequest, now: Timestamp, decide: (admission: Admission) => void): void {
    const wait = Math.min(this._bounds.timeout, request.startBy - now) as Milliseconds
    const reason: NotRunReason = wait < this._bounds.timeout ? 'deadline' : 'overloaded'
    const timer = this._clock.after(wait, () => { this.refuse(request.requestId, reason) })
    const position = this._waiting.findIndex((candidate) => compareRequests(request, candidate) < 0)
    const entry: IWaitingRequest = { ...request, timer, decide }
    this._waiting.splice(position < 0 ? this._waiting.length : position, 0, entry)
  }

  private _decideAt (position: number, admission: Admission): void {
    const [entry] = this._waiting.splice(position, 1)
    entry?.timer.dispose()
    entry?.decide(admission)
  }
}
