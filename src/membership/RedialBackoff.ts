/** When a peer, or a failure domain, that could not be reached may be dialled again. */
import { addDuration } from '../common/Ids.js'
import { drawEqualJitter } from '../common/Jitter.js'
import type { IRandomService } from '../common/Services.js'
import type { FailureDomain, Milliseconds, NodeId, Timestamp } from '../common/Types.js'

/** Bounds of the wait. */
export interface IRedialBackoffOptions {
  readonly random: IRandomService
  readonly redialDelay: Milliseconds
  readonly longestRedialDelay: Milliseconds
}

/** Peers remembered; beyond that all are forgotten, which only makes a dial happen early. */
const MAXIMUM_PEERS = 1_024

/** One peer's failures. */
interface IFailures {
  readonly count: number
  readonly notBefore: Timestamp
}

/** Doubles the wait with each failure and draws its second half at random. */
export class RedialBackoff<TId extends string = NodeId | FailureDomain> {
  private readonly _failures = new Map<TId, IFailures>()

  constructor (private readonly _options: IRedialBackoffOptions) {}

  public mayDial (id: TId, now: Timestamp): boolean {
    const failures = this._failures.get(id)
    return failures === undefined || now >= failures.notBefore
  }

  public recordFailure (id: TId, now: Timestamp): void {
    const { redialDelay, longestRedialDelay, random } = this._options
    if (this._failures.size >= MAXIMUM_PEERS) this._failures.clear()
    const count = (this._failures.get(id)?.count ?? 0) + 1
    const bound = Math.min(longestRedialDelay, redialDelay * 2 ** (count - 1))
    const delay = drawEqualJitter(bound, random)
    this._failures.set(id, { count, notBefore: addDuration(now, delay) })
  }

  public recordSuccess (id: TId): void {
    this._failures.delete(id)
  }
}
