/** One attempt at the node beside its endpoint. */
import type { ICancellation } from '../../common/Cancellation.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import type { HttpExchange } from '../exchange/HttpExchange.js'
import type { AttemptOutcome, IMeshCall, RefusalReason } from '../Types.js'
import type { IWaitingRequest } from './WaitingLine.js'

/** What a call is taken with. */
export interface IGatedCallOptions {
  /** Usual time in a slot. */
  readonly expected: Milliseconds
  /** Cancelled when nobody waits for the answer any more. */
  readonly cancellation: ICancellation
  /** When the request was read. */
  readonly readAt: Timestamp
  /** Turn of the event loop in which it was read. */
  readonly readTurn: number
}

/** Waits for its turn, then carries the exchange. */
export class GatedCall implements IWaitingRequest {
  public readonly rank: number
  public readonly expected: Milliseconds
  public readonly objectiveAt: Timestamp
  public readonly deadlineAt: Timestamp
  /** Resolves with undefined when the request may run, else with its refusal. */
  public readonly turn: Promise<AttemptOutcome | undefined>
  /** When the request began to be sent to the endpoint. */
  public sentAt: Timestamp | undefined
  /** When the request got its slot; undefined while it waits. */
  public startedAt: Timestamp | undefined
  /** Set once the request is sent to the endpoint. */
  public exchange: HttpExchange | undefined
  private _resolve: ((refusal: AttemptOutcome | undefined) => void) | undefined

  constructor (public readonly call: IMeshCall, private readonly _options: IGatedCallOptions) {
    this.expected = _options.expected
    this.rank = call.rank
    this.objectiveAt = call.objectiveAt
    this.deadlineAt = call.deadlineAt
    this.turn = new Promise((resolve) => { this._resolve = resolve })
  }

  /** True once nobody waits for the answer any more. */
  public get isCancelled (): boolean {
    return this._options.cancellation.isCancelled
  }

  /** When the request was read. */
  public get readAt (): Timestamp {
    return this._options.readAt
  }

  /** Turn of the event loop in which it was read. */
  public get readTurn (): number {
    return this._options.readTurn
  }

  /** Lets a waiting request run. */
  public start (): void {
    this._resolve?.(undefined)
  }

  /** Ends the wait of a request that will not run. */
  public refuse (reason: RefusalReason, retryAfter?: Milliseconds): void {
    this._resolve?.({ kind: 'refused', reason, retryAfter })
  }
}
