/** Classifies calls for a service's objective. */
import type { IObjective } from '../documents/Types.js'
import type { CallOutcome, NotRunReason } from '../gate/Types.js'

const FIRST_SERVER_ERROR = 500

/** Refusals that are caused by the caller or by the document. */
const UNCOUNTED_REASONS: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
  'cancelled', 'no-route', 'key-missing', 'key-conflict', 'too-large', 'rate-limited', 'malformed'
])

/** Classification of a call. */
export type BurnVerdict = 'good' | 'bad' | 'not-counted'

/** A call is good if its response has a status below 500 and completes within the latency of the objective. */
export function classifyCall (outcome: CallOutcome, elapsedMs: number, objective: IObjective): BurnVerdict {
  if (outcome.kind === 'not-run') return UNCOUNTED_REASONS.has(outcome.reason) ? 'not-counted' : 'bad'
  if (outcome.kind === 'unknown') return outcome.reason === 'cancelled' ? 'not-counted' : 'bad'
  return outcome.status < FIRST_SERVER_ERROR && elapsedMs <= objective.latency ? 'good' : 'bad'
}
