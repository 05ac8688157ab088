/** One request of a replayed load pattern. */
import type { Milliseconds, Timestamp } from '../../src/common/Types.js'
import type { EndpointView, IOutstandingAttempt } from '../../src/mesh/calls/EndpointView.js'
import type { IQueuedRequest } from '../../src/mesh/endpoint/RequestQueue.js'
import type { IRequestKind } from './Types.js'

/** Final outcome of a request. */
export type ReplayOutcome = 'on-time' | 'late' | 'refused' | 'failed'

/** State of a request at the caller's node and at the endpoint's node. */
export class ReplayedRequest implements IQueuedRequest {
  public readonly rank: number
  public readonly objectiveAt: Timestamp
  public readonly deadlineAt: Timestamp
  /** Expected service time, as estimated by the endpoint's node when the request arrives. */
  public expected = 0 as Milliseconds
  public end: ReplayOutcome | undefined
  public tries = 0
  public capacityRefusals = 0
  public view: EndpointView | undefined
  public attempt: IOutstandingAttempt | undefined
  public readonly tried = new Set<EndpointView>()

  constructor (public readonly kind: IRequestKind, public readonly domain: number, public readonly arrivedAt: Timestamp) {
    this.rank = kind.rank
    this.objectiveAt = arrivedAt + kind.objective as Timestamp
    this.deadlineAt = arrivedAt + kind.deadline as Timestamp
  }
}
