/** One attempt of a call, at the node on the endpoint's VM. */
import type { ICancellation } from '../../common/Cancellation.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { RequestIdentity } from '../crashes/RequestIdentity.js'
import type { HttpExchange } from '../exchange/HttpExchange.js'
import type { AttemptOutcome, IMeshCall, RefusalReason } from '../Types.js'
import type { IQueuedRequest } from './RequestQueue.js'

/** Options of `GatedCall`. */
export interface IGatedCallOptions {
  /** Expected service time. */
  readonly expected: Milliseconds
  /** Cancelled when the caller no longer waits for the response. */
  readonly cancellation: ICancellation
  /** Time at which the request was read. */
  readonly readAt: Timestamp
  /** Event loop iteration in which the request was read. */
  readonly readIteration: number
}

/** Waits in the request queue for a slot, then contains the exchange with the endpoint. */
export class GatedCall implements IQueuedRequest {
  public readonly rank: number
  public readonly expected: Milliseconds
  public readonly objectiveAt: Timestamp
  public readonly deadlineAt: Timestamp
  /** Resolves with undefined when a queued request may run, otherwise with its refusal. */
  public readonly admission: Promise<AttemptOutcome | undefined>
  /** Identifies identical requests. */
  public readonly identity: RequestIdentity
  /** Time at which sending to the endpoint started. */
  public sentAt: Timestamp | undefined
  /** Time at which the request got a slot; undefined before. */
  public startedAt: Timestamp | undefined
  /** True if the request was quarantined when it was sent. */
  public isTrial = false
  /** Exchange with the endpoint, set right before the request is sent. */
  public exchange: HttpExchange | undefined
  private _resolveAdmission: ((refusal: AttemptOutcome | undefined) => void) | undefined

  constructor (public readonly call: IMeshCall, private readonly _options: IGatedCallOptions) {
    this.expected = _options.expected
    this.rank = call.rank
    this.objectiveAt = call.objectiveAt
    this.deadlineAt = call.deadlineAt
    this.identity = new RequestIdentity(call)
    this.admission = new Promise((resolve) => { this._resolveAdmission = resolve })
  }

  /** True once the caller no longer waits for the response. */
  public get isCancelled (): boolean {
    return this._options.cancellation.isCancelled
  }

  /** Time at which the request was read. */
  public get readAt (): Timestamp {
    return this._options.readAt
  }

  /** Event loop iteration in which the request was read. */
  public get readIteration (): number {
    return this._options.readIteration
  }

  /** Starts a queued request. */
  public start (): void {
    this._resolveAdmission?.(undefined)
  }

  /** Refuses a queued request. */
  public refuse (reason: RefusalReason, retryAfter?: Milliseconds): void {
    this._resolveAdmission?.({ kind: 'refused', reason, retryAfter })
  }
}
