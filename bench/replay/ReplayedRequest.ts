/** One request of a replayed load. */
import type { Milliseconds, Timestamp } from '../../src/common/Types.js'
import type { EndpointView, IOutstandingAttempt } from '../../src/mesh/calls/EndpointView.js'
import type { IQueuedRequest } from '../../src/mesh/endpoint/RequestQueue.js'
import type { IRequestKind } from './Types.js'

/** How a request ended. */
export type ReplayEnd = 'on-time' | 'late' | 'refused' | 'failed'

/** Keeps what the caller's node and the endpoint's node know of the request. */
export class ReplayedRequest implements IQueuedRequest {
  public readonly rank: number
  public readonly objectiveAt: Timestamp
  public readonly deadlineAt: Timestamp
  /** Usual time in a slot, as the endpoint's node sees it when the request comes. */
  public expected = 0 as Milliseconds
  public end: ReplayEnd | undefined
  public tries = 0
  public refusalsForRoom = 0
  public view: EndpointView | undefined
  public attempt: IOutstandingAttempt | undefined
  public readonly tried = new Set<EndpointView>()

  constructor (public readonly kind: IRequestKind, public readonly domain: number, public readonly arrivedAt: Timestamp) {
    this.rank = kind.rank
    this.objectiveAt = arrivedAt + kind.objective as Timestamp
    this.deadlineAt = arrivedAt + kind.deadline as Timestamp
  }
}
