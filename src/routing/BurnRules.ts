/** Which calls count for or against a service's objective. */
import type { IObjective } from '../documents/Types.js'
import type { CallOutcome, NotRunReason } from '../gate/Types.js'

const FIRST_SERVER_ERROR = 500

/** Refusals for which the caller or the document is the cause. */
const NOT_COUNTED: ReadonlySet<NotRunReason> = new Set<NotRunReason>([
  'cancelled', 'no-route', 'key-missing', 'key-conflict', 'too-large', 'rate-limited', 'malformed'
])

/** Whether a call counts. */
export type BurnVerdict = 'good' | 'bad' | 'not-counted'

/** A call is good if it was answered below 500 within the objective's latency. */
export function isGoodCall (outcome: CallOutcome, elapsedMs: number, objective: IObjective): BurnVerdict {
  if (outcome.kind === 'not-run') return NOT_COUNTED.has(outcome.reason) ? 'not-counted' : 'bad'
  if (outcome.kind === 'unknown') return outcome.reason === 'cancelled' ? 'not-counted' : 'bad'
  return outcome.status < FIRST_SERVER_ERROR && elapsedMs <= objective.latency ? 'good' : 'bad'
}
