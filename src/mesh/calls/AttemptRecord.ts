/** What the log tells of the attempts of a request. */
import type { AttemptOutcome } from '../Types.js'

/** One attempt as the log tells it. Times in milliseconds. */
export type AttemptRecord = {
  readonly node: string
  readonly endpoint: string
  /** From the arrival of the request to the start of the attempt. */
  readonly afterMs: number
  readonly expectedMs: number
  /** Undefined while the attempt runs, as for one that lost against another. */
  tookMs?: number
  /** Part of that at the node beside the endpoint. */
  handledMs?: number
  outcome?: string
}

/** Kind of an outcome with its status or reason. */
export function describeOutcome (outcome: AttemptOutcome): string {
  return outcome.kind === 'answered' ? `answered ${outcome.answer.status}` : `${outcome.kind}: ${outcome.reason}`
}
