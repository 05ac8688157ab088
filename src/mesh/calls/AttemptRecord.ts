/** Log records of the attempts of a request. */
import type { AttemptOutcome } from '../Types.js'

/** One attempt as it appears in the log. Times are in milliseconds. */
export type AttemptRecord = {
  readonly node: string
  readonly endpoint: string
  /** From the arrival of the request to the start of the attempt. */
  readonly afterMs: number
  readonly expectedMs: number
  /** Time spent waiting for a connection to the other node; undefined if a connection was available at once. */
  connectMs?: number
  /** Duration of the attempt; of a superseded attempt, until it was cancelled. Undefined while the attempt runs. */
  tookMs?: number
  /** Part of `tookMs` that the attempt spent at the endpoint's node. */
  handledMs?: number
  outcome?: string
}

/** Outcome of an attempt that was cancelled because a parallel attempt of the same request finished first. */
export const SUPERSEDED_OUTCOME = 'lost'

/** Returns the kind of an outcome with its status or reason. */
export function describeOutcome (outcome: AttemptOutcome): string {
  return outcome.kind === 'answered' ? `answered ${outcome.answer.status}` : `${outcome.kind}: ${outcome.reason}`
}
