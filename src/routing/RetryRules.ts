/** Decides whether a call may be tried again. */
import type { IRandomService } from '../common/Services.js'
import type { Milliseconds, Timestamp } from '../common/Types.js'
import type { IRetryResource } from '../documents/Types.js'
import { UPSTREAM_CRASHED_REASON, type CallOutcome, type ICall, type NotRunReason } from '../gate/Types.js'

/** Other endpoints tried for one call when the chosen one could not take it; costs no budget because nothing was run. */
export const RESELECTION_LIMIT = 2

/** Least time that must remain after a backoff for another attempt. */
const ATTEMPT_MINIMUM_MS = 2

/** Least backoff after a crash of the upstream, in which the other gates learn that the request is suspect. */
const CRASH_BACKOFF_MS = 250

/** The endpoint cannot take calls; another one may. */
const RESELECTABLE: ReadonlySet<NotRunReason> = new Set<NotRunReason>(['unreachable', 'draining', 'not-ready', 'no-endpoint'])

/** A call as far as the decision needs it. */
export type RetrySubject = Pick<ICall, 'repeat' | 'depth' | 'deadlineAt' | 'isCancelled'>

/** True if the attempt ran nothing and the next endpoint may be tried at once, at any depth. */
export function mayReselect (call: RetrySubject, outcome: CallOutcome, reselections: number, now: Timestamp): boolean {
  if (outcome.kind !== 'not-run' || reselections >= RESELECTION_LIMIT || call.isCancelled) return false
  return RESELECTABLE.has(outcome.reason) && now + ATTEMPT_MINIMUM_MS < call.deadlineAt
}

/**
 * True if the rules allow a retry, budget and backoff aside: only at the first hop, and only
 * if the request is idempotent or was proven not to have run.
 */
export function mayRetry (call: RetrySubject, outcome: CallOutcome, attempts: number, rule: IRetryResource | undefined): boolean {
  if (rule === undefined || call.depth !== 0 || call.isCancelled || attempts >= rule.attempts) return false
  if (outcome.kind === 'not-run') return outcome.reason === 'overloaded' || RESELECTABLE.has(outcome.reason)
  if (outcome.kind === 'unknown') return call.repeat === 'idempotent'
  return call.repeat === 'idempotent' && outcome.status === SERVICE_UNAVAILABLE
}

/** Status by which an upstream sheds load. */
export const SERVICE_UNAVAILABLE = 503

/** Full jitter: between nothing and an upper bound that doubles with each attempt. */
export function drawBackoff (rule: IRetryResource, attempts: number, random: IRandomService): Milliseconds {
  const bound = Math.min(rule.backoffLimit, rule.backoff * 2 ** Math.max(0, attempts - 1))
  return Math.floor(random.fraction() * bound) as Milliseconds
}

/** The backoff after `outcome`: longer after a crash, so that the next gate runs the request alone. */
export function backoffAfter (outcome: CallOutcome, rule: IRetryResource, attempts: number, random: IRandomService): Milliseconds {
  const backoff = drawBackoff(rule, attempts, random)
  const isCrash = outcome.kind === 'unknown' && outcome.reason === UPSTREAM_CRASHED_REASON
  return isCrash ? backoff + CRASH_BACKOFF_MS as Milliseconds : backoff
}

/** True if an attempt that starts after `backoff` still has time before the deadline. */
export function hasTimeFor (call: RetrySubject, backoff: Milliseconds, now: Timestamp): boolean {
  return now + backoff + ATTEMPT_MINIMUM_MS < call.deadlineAt
}
