/** One attempt at the node beside its endpoint. */
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import type { HttpExchange } from '../exchange/HttpExchange.js'
import type { AttemptOutcome, IMeshCall, RefusalReason } from '../Types.js'
import type { IWaitingRequest } from './WaitingLine.js'

/** Waits for its turn, then carries the exchange. */
export class GatedCall implements IWaitingRequest {
  public readonly rank: number
  public readonly objectiveAt: Timestamp
  public readonly deadlineAt: Timestamp
  /** Resolves with undefined when the request may run, else with its refusal. */
  public readonly turn: Promise<AttemptOutcome | undefined>
  public isCancelled = false
  /** When the request began to be sent to the endpoint. */
  public sentAt: Timestamp | undefined
  /** When the request got its slot; undefined while it waits. */
  public startedAt: Timestamp | undefined
  /** Set once the request is sent to the endpoint. */
  public exchange: HttpExchange | undefined
  private _resolve: ((refusal: AttemptOutcome | undefined) => void) | undefined

  /** `readAt`, `readTurn`: when the request was read, by the clock and in turns of the event loop. */
  constructor (
    public readonly call: IMeshCall,
    public readonly expected: Milliseconds,
    public readonly readAt: Timestamp,
    public readonly readTurn: number
  ) {
    this.rank = call.rank
    this.objectiveAt = call.objectiveAt
    this.deadlineAt = call.deadlineAt
    this.turn = new Promise((resolve) => { this._resolve = resolve })
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
