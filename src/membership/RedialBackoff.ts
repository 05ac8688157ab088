/** Backoff between attempts to dial a peer or a failure domain. */
import { addDuration } from '../common/Ids.js'
import { drawEqualJitter } from '../common/Jitter.js'
import type { IRandomService } from '../common/Services.js'
import type { FailureDomain, Milliseconds, NodeId, Timestamp } from '../common/Types.js'

/** Dependencies and bounds of RedialBackoff. */
export interface IRedialBackoffOptions {
  readonly random: IRandomService
  readonly redialDelay: Milliseconds
  readonly maximumRedialDelay: Milliseconds
}

/** Maximum number of ids with failures; when it is reached all are removed, which only causes some dials to be too early. */
const MAXIMUM_PEERS = 1_024

/** Failures to dial one id, and the earliest time of the next attempt. */
interface IFailureRecord {
  readonly count: number
  readonly notBefore: Timestamp
}

/** Exponential backoff: the bound doubles with each failure, and the delay is drawn from its upper half. */
export class RedialBackoff<TId extends string = NodeId | FailureDomain> {
  private readonly _failures = new Map<TId, IFailureRecord>()

  constructor (private readonly _options: IRedialBackoffOptions) {}

  public isDialAllowed (id: TId, now: Timestamp): boolean {
    const failures = this._failures.get(id)
    return failures === undefined || now >= failures.notBefore
  }

  public recordFailure (id: TId, now: Timestamp): void {
    const { redialDelay, maximumRedialDelay, random } = this._options
    if (this._failures.size >= MAXIMUM_PEERS) this._failures.clear()
    const count = (this._failures.get(id)?.count ?? 0) + 1
    const bound = Math.min(maximumRedialDelay, redialDelay * 2 ** (count - 1))
    const delay = drawEqualJitter(bound, random)
    this._failures.set(id, { count, notBefore: addDuration(now, delay) })
  }

  public recordSuccess (id: TId): void {
    this._failures.delete(id)
  }
}
