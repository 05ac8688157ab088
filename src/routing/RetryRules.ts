/** Decides whether a call may be retried. */
import type { IRandomService } from '../common/Services.js'
import type { Milliseconds, Timestamp } from '../common/Types.js'
import type { IRetryResource } from '../documents/Types.js'
import { UPSTREAM_CRASHED_REASON, type CallOutcome, type ICall, type NotRunReason } from '../gate/Types.js'

/**
 * Maximum number of further endpoints for one call if the chosen one can't accept it. A reselection uses no retry budget,
 * because nothing was run.
 */
export const MAXIMUM_RESELECTIONS = 2

/** Minimum time that must remain after a backoff for another attempt. */
const MINIMUM_ATTEMPT_MS = 2

/** Additional backoff after a crash of the upstream, during which other gates are notified that the request is suspect. */
const ADDITIONAL_CRASH_BACKOFF_MS = 250

/** Refusals of an endpoint that can't accept calls while another endpoint may. */
const RESELECTABLE_REASONS: ReadonlySet<NotRunReason> = new Set<NotRunReason>(['unreachable', 'draining', 'not-ready', 'no-endpoint'])

/** Properties of a call that the decision uses. */
export type RetrySubject = Pick<ICall, 'repeat' | 'depth' | 'deadlineAt' | 'isCancelled'>

/** True if the attempt was not run and another endpoint may be used immediately, at any depth. */
export function isReselectionAllowed (call: RetrySubject, outcome: CallOutcome, reselections: number, now: Timestamp): boolean {
  if (outcome.kind !== 'not-run' || reselections >= MAXIMUM_RESELECTIONS || call.isCancelled) return false
  return RESELECTABLE_REASONS.has(outcome.reason) && now + MINIMUM_ATTEMPT_MS < call.deadlineAt
}

/**
 * True if the rules allow a retry, without regard to budget and backoff: only at the first hop, and only if the request
 * is idempotent or certainly did not run.
 */
export function isRetryAllowed (call: RetrySubject, outcome: CallOutcome, attempts: number, rule: IRetryResource | undefined): boolean {
  if (rule === undefined || call.depth !== 0 || call.isCancelled || attempts >= rule.attempts) return false
  if (outcome.kind === 'not-run') return outcome.reason === 'overloaded' || RESELECTABLE_REASONS.has(outcome.reason)
  if (outcome.kind === 'unknown') return call.repeat === 'idempotent'
  return call.repeat === 'idempotent' && outcome.status === SERVICE_UNAVAILABLE
}

/** Status with which an upstream sheds load. */
export const SERVICE_UNAVAILABLE = 503

/** Draws a backoff with full jitter: between 0 and an upper bound that doubles with each attempt. */
export function drawBackoff (rule: IRetryResource, attempts: number, random: IRandomService): Milliseconds {
  const bound = Math.min(rule.backoffLimit, rule.backoff * 2 ** Math.max(0, attempts - 1))
  return Math.floor(random.fraction() * bound) as Milliseconds
}

/**
 * Returns the backoff after `outcome`: longer after a crash, so that the next gate, once notified, runs the request in
 * isolation.
 */
export function backoffAfter (outcome: CallOutcome, rule: IRetryResource, attempts: number, random: IRandomService): Milliseconds {
  const backoff = drawBackoff(rule, attempts, random)
  const isCrash = outcome.kind === 'unknown' && outcome.reason === UPSTREAM_CRASHED_REASON
  return isCrash ? backoff + ADDITIONAL_CRASH_BACKOFF_MS as Milliseconds : backoff
}

/** True if enough time before the deadline remains for an attempt after `backoff`. */
export function hasTimeForAttempt (call: RetrySubject, backoff: Milliseconds, now: Timestamp): boolean {
  return now + backoff + MINIMUM_ATTEMPT_MS < call.deadlineAt
}
