/** Decides whether a request is retried at another endpoint. */
import type { Timestamp } from '../../common/Types.js'
import { isEndpointFailure } from '../exchange/Statuses.js'
import type { AttemptOutcome, Idempotency, RefusalReason } from '../Types.js'

/** Properties of a request that the decision depends on. */
export interface IRetrySubject {
  readonly repeat: Idempotency
  /** Maximum number of endpoints that the request may be sent to. */
  readonly attempts: number
  readonly deadlineAt: Timestamp
  readonly isCancelled: boolean
}

/** Numbers of attempts so far, including the last one. */
export interface IRetryHistory {
  /** Attempts that reached an endpoint or may have reached it. */
  readonly arrivals: number
  /** All attempts. */
  readonly tries: number
  /** Attempts that were refused for lack of capacity. */
  readonly capacityRefusals: number
}

/** Whether to retry. `again-if-allowed`: only if the retry budget share permits it. */
export type RetryDecision = 'final' | 'again' | 'again-if-allowed'

/** Maximum number of nodes that one request is sent to, counting those that did not forward it to their endpoint. */
const MAXIMUM_TRIES = 6
/**
 * Number of refusals for lack of capacity after which a request is not retried: the best endpoints were tried first, and each further
 * attempt costs a round trip.
 */
export const MAXIMUM_CAPACITY_REFUSALS = 3
/** Minimum time that must remain until the deadline for another attempt. */
const MINIMUM_REMAINING_MS = 15

/** Refusals that another endpoint would repeat. */
const FINAL_REFUSALS: readonly RefusalReason[] = ['deadline', 'cancelled', 'quarantined']

/** True if the attempt reached an endpoint or may have reached it. */
export function mayHaveReachedEndpoint (outcome: AttemptOutcome): boolean {
  return outcome.kind !== 'refused' || outcome.reason === 'shed'
}

/** A non-idempotent request is retried only after an attempt that provably did not run. */
export function decideRetry (subject: IRetrySubject, outcome: AttemptOutcome, history: IRetryHistory, now: Timestamp): RetryDecision {
  if (subject.isCancelled || now + MINIMUM_REMAINING_MS >= subject.deadlineAt || history.tries >= MAXIMUM_TRIES) return 'final'
  if (history.capacityRefusals >= MAXIMUM_CAPACITY_REFUSALS) return 'final'
  if (outcome.kind === 'refused' && outcome.reason !== 'shed') {
    return FINAL_REFUSALS.includes(outcome.reason) ? 'final' : 'again'
  }
  if (history.arrivals >= subject.attempts) return 'final'
  if (outcome.kind === 'refused') return 'again-if-allowed'
  if (subject.repeat !== 'idempotent') return 'final'
  if (outcome.kind === 'unknown') return outcome.reason === 'deadline' ? 'final' : 'again-if-allowed'
  return isEndpointFailure(outcome.answer.status) ? 'again-if-allowed' : 'final'
}
