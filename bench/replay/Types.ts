/** Types of replayed load patterns. */
import type { IEndpointSelectorOptions } from '../../src/mesh/calls/EndpointSelector.js'
import type { RequestQueue } from '../../src/mesh/endpoint/RequestQueue.js'
import type { ReplayedRequest } from './ReplayedRequest.js'

/** Kind of requests in a load pattern. Times in milliseconds. */
export interface IRequestKind {
  readonly rank: number
  /** Share of all requests. */
  readonly share: number
  readonly meanWork: number
  readonly objective: number
  readonly deadline: number
}

/** A load pattern; `now` is in milliseconds since the start of the replay. */
export interface ILoadPattern {
  readonly name: string
  /** The situation that the policies have to handle. */
  readonly summary: string
  /** Requests per second in one failure domain. */
  rate (domain: number, now: number): number
  /** Factor on the execution time of requests at an endpoint. */
  slowness (endpoint: number, now: number): number
}

/** Methods of a request queue that the replay uses. */
export type IReplayedQueue = Pick<RequestQueue<ReplayedRequest>, 'offer' | 'release' | 'next' | 'resize' | 'running' | 'waiting' | 'expectedWait'>

/** A combination of endpoint selection and request queue. */
export interface IReplayPolicy {
  readonly name: string
  readonly selection: Partial<IEndpointSelectorOptions>
  createQueue (): IReplayedQueue
}

/** Outcomes for callers; shares in percent. */
export interface IReplayResult {
  readonly requests: number
  readonly onTime: number
  readonly late: number
  /** Refused with a retry time. */
  readonly refused: number
  /** No response before the deadline. */
  readonly failed: number
  /** Requests sent to a further endpoint. */
  readonly retries: number
  /** Attempts sent to another region. */
  readonly crossRegionAttempts: number
  /** Maximum time from the arrival of a request to its refusal, in milliseconds. */
  readonly maximumRefusalDelay: number
  /** On-time share by rank, in percent. */
  readonly onTimeByRank: ReadonlyMap<number, number>
}
