/** Decides whether a request may be sent to another endpoint. */
import type { Timestamp } from '../../common/Types.js'
import { isEndpointFailure } from '../exchange/Statuses.js'
import type { AttemptOutcome, RepeatKind } from '../Types.js'

/** A request as far as the decision needs it. */
export interface IRepeatSubject {
  readonly repeat: RepeatKind
  /** Most endpoints that it may be sent to. */
  readonly attempts: number
  readonly deadlineAt: Timestamp
  readonly isCancelled: boolean
}

/** What has been tried so far, the last attempt included. */
export interface IRepeatHistory {
  /** Attempts that reached an endpoint, or may have. */
  readonly arrivals: number
  /** All attempts. */
  readonly tries: number
  /** Attempts that were refused for want of room. */
  readonly refusalsForRoom: number
}

/** Whether to go on, and whether that needs a place in the shared allowance of repeats. */
export type RepeatVerdict = 'final' | 'again' | 'again-if-allowed'

/** Nodes that are asked for one request, where none of them took it to its endpoint. */
const MAXIMUM_TRIES = 6
/** Endpoints that refuse a request for want of room before it is given up: the best ones were asked first, and each costs a way. */
export const MAXIMUM_REFUSALS_FOR_ROOM = 3
/** Time that must remain for another attempt. */
const LEAST_TIME_MS = 15

/** True if the attempt reached an endpoint, or may have. */
export function hasArrived (outcome: AttemptOutcome): boolean {
  return outcome.kind !== 'refused' || outcome.reason === 'shed'
}

/** A request that must not run twice goes on only after an attempt that proves not to have run. */
export function judgeRepeat (subject: IRepeatSubject, outcome: AttemptOutcome, history: IRepeatHistory, now: Timestamp): RepeatVerdict {
  if (subject.isCancelled || now + LEAST_TIME_MS >= subject.deadlineAt || history.tries >= MAXIMUM_TRIES) return 'final'
  if (history.refusalsForRoom >= MAXIMUM_REFUSALS_FOR_ROOM) return 'final'
  if (outcome.kind === 'refused' && outcome.reason !== 'shed') {
    return outcome.reason === 'deadline' || outcome.reason === 'cancelled' ? 'final' : 'again'
  }
  if (history.arrivals >= subject.attempts) return 'final'
  if (outcome.kind === 'refused') return 'again-if-allowed'
  if (subject.repeat !== 'idempotent') return 'final'
  if (outcome.kind === 'unknown') return outcome.reason === 'deadline' ? 'final' : 'again-if-allowed'
  return isEndpointFailure(outcome.answer.status) ? 'again-if-allowed' : 'final'
}
