/** Requests that wait for a slot of one endpoint: bounded, ordered by class and then by deadline. */
import type { IClockService } from '../common/Services.js'
import type { IDisposable, Milliseconds, RequestId, Timestamp } from '../common/Types.js'
import type { RequestClass } from '../documents/Types.js'
import type { SlotCounter } from './SlotCounter.js'
import type { NotRunReason } from './Types.js'

/** One request that asks for a slot. */
export interface IAdmissionRequest {
  readonly requestId: RequestId
  readonly class: RequestClass
  /** Latest time at which the request may start and still finish. */
  readonly startBy: Timestamp
  /** True if the request must run alone in the endpoint. */
  readonly isIsolated: boolean
}

/** Bounds of the queue, from the pool resource. */
export interface IQueueBounds {
  readonly length: number
  readonly timeout: Milliseconds
}

/** Undefined if a slot was granted, else why not. */
export type Admission = NotRunReason | undefined

interface IWaitingRequest extends IAdmissionRequest {
  readonly timer: IDisposable
  readonly decide: (admission: Admission) => void
}

/** Smaller is more important. */
const CLASS_RANK: Readonly<Record<RequestClass, number>> = Object.freeze({ critical: 0, normal: 1, background: 2 })

/** Negative if `first` goes before `second`. */
function compare (first: IAdmissionRequest, second: IAdmissionRequest): number {
  return CLASS_RANK[first.class] - CLASS_RANK[second.class] || first.startBy - second.startBy
}

/** Grants the slots of one endpoint. */
export class AdmissionQueue {
  private readonly _waiting: IWaitingRequest[] = []
  private _bounds: IQueueBounds = { length: 0, timeout: 0 as Milliseconds }

  constructor (private readonly _slots: SlotCounter, private readonly _clock: IClockService) {}

  /** Requests that wait. */
  public get length (): number {
    return this._waiting.length
  }

  public resize (bounds: IQueueBounds): void {
    this._bounds = bounds
  }

  /** Grants a slot at once, refuses, or gives a promise of the decision. */
  public admit (request: IAdmissionRequest, now: Timestamp): Admission | Promise<Admission> {
    if (request.startBy < now) return 'deadline'
    if (this._waiting.length === 0 && this._slots.take(request.isIsolated)) return undefined
    if (!this._makeRoom(request)) return 'overloaded'
    return new Promise((resolve) => { this._insert(request, now, resolve) })
  }

  /** Takes a waiting request out and refuses it; false if it does not wait. */
  public refuse (requestId: RequestId, reason: NotRunReason): boolean {
    const position = this._waiting.findIndex((candidate) => candidate.requestId === requestId)
    if (position < 0) return false
    this._decide(position, reason)
    return true
  }

  /** Refuses every waiting request. */
  public refuseAll (reason: NotRunReason): void {
    while (this._waiting.length > 0) this._decide(this._waiting.length - 1, reason)
  }

  /** Gives a slot back and grants free ones to those who wait. */
  public release (now: Timestamp): void {
    this._slots.give()
    this.grant(now)
  }

  /** Grants free slots to those who wait, in order. */
  public grant (now: Timestamp): void {
    let first = this._waiting[0]
    while (first !== undefined) {
      if (first.startBy < now) this._decide(0, 'deadline')
      else if (this._slots.take(first.isIsolated)) this._decide(0, undefined)
      else return
      first = this._waiting[0]
    }
  }

  /** Makes room by shedding the last in order, if that is not `request` itself. */
  private _makeRoom (request: IAdmissionRequest): boolean {
    if (this._waiting.length < this._bounds.length) return true
    const last = this._waiting.at(-1)
    if (last === undefined || compare(last, request) <= 0) return false
    this._decide(this._waiting.length - 1, 'overloaded')
    return true
  }

  private _insert (request: IAdmissionRequest, now: Timestamp, decide: (admission: Admission) => void): void {
    const wait = Math.min(this._bounds.timeout, request.startBy - now) as Milliseconds
    const reason: NotRunReason = wait < this._bounds.timeout ? 'deadline' : 'overloaded'
    const timer = this._clock.after(wait, () => { this.refuse(request.requestId, reason) })
    const position = this._waiting.findIndex((candidate) => compare(request, candidate) < 0)
    const entry: IWaitingRequest = { ...request, timer, decide }
    this._waiting.splice(position < 0 ? this._waiting.length : position, 0, entry)
  }

  private _decide (position: number, admission: Admission): void {
    const [entry] = this._waiting.splice(position, 1)
    entry?.timer.dispose()
    entry?.decide(admission)
  }
}
