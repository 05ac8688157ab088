/** Shapes of replayed load. */
import type { IEndpointSelectorOptions } from '../../src/mesh/calls/EndpointSelector.js'
import type { RequestQueue } from '../../src/mesh/endpoint/RequestQueue.js'
import type { ReplayedRequest } from './ReplayedRequest.js'

/** Kind of requests in a pattern. Times in milliseconds. */
export interface IRequestKind {
  readonly rank: number
  /** Part of all requests. */
  readonly share: number
  readonly meanWork: number
  readonly objective: number
  readonly deadline: number
}

/** A load that is replayed; the present time of its functions counts milliseconds from its start. */
export interface ILoadPattern {
  readonly name: string
  /** What the decisions have to answer. */
  readonly summary: string
  /** Requests a second in one failure domain. */
  rate (domain: number, now: number): number
  /** Multiple of the work that a request takes at an endpoint. */
  slowness (endpoint: number, now: number): number
}

/** What a line of waiting requests must offer to be replayed. */
export type IReplayedLine = Pick<RequestQueue<ReplayedRequest>, 'offer' | 'release' | 'next' | 'resize' | 'running' | 'waiting' | 'expectedWait'>

/** One way to decide. */
export interface IReplayPolicy {
  readonly name: string
  readonly placement: Partial<IEndpointSelectorOptions>
  createLine (): IReplayedLine
}

/** What callers got. */
export interface IReplayResult {
  readonly requests: number
  readonly onTime: number
  readonly late: number
  /** Told when to come back. */
  readonly refused: number
  /** No answer before the deadline. */
  readonly failed: number
  /** Requests sent to a further endpoint. */
  readonly repeats: number
  /** Attempts sent to another region. */
  readonly abroad: number
  /** Longest time that a refused request was held, in milliseconds. */
  readonly longestHold: number
  /** On time by rank, in percent. */
  readonly onTimeByRank: ReadonlyMap<number, number>
}
