/** What the log tells of the attempts of a request. */
import type { AttemptOutcome } from '../Types.js'

/** One attempt as the log tells it. Times in milliseconds. */
export type AttemptRecord = {
  readonly node: string
  readonly endpoint: string
  /** From the arrival of the request to the start of the attempt. */
  readonly afterMs: number
  readonly expectedMs: number
  /** Until there was a connection to the other node; undefined if one was free. */
  connectMs?: number
  /** For one that lost against another, until it was cancelled. Undefined while the attempt runs. */
  tookMs?: number
  /** Part of that at the node beside the endpoint. */
  handledMs?: number
  outcome?: string
}

/** Outcome of an attempt that was cancelled because another one had answered. */
export const LOST_ATTEMPT = 'lost'

/** Kind of an outcome with its status or reason. */
export function describeOutcome (outcome: AttemptOutcome): string {
  return outcome.kind === 'answered' ? `answered ${outcome.answer.status}` : `${outcome.kind}: ${outcome.reason}`
}
