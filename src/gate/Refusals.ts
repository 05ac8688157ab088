/** HTTP responses for calls that received no response from an upstream. */
import type { CallOutcome, NotRunReason } from './Types.js'

/** Refusal as sent to the caller. */
export interface IRefusalResponse {
  readonly status: number
  /** True if the caller may retry the request later. */
  readonly isRetryable: boolean
}

const STATUS_BY_REASON: Readonly<Record<NotRunReason, IRefusalResponse>> = Object.freeze({
  malformed: { status: 400, isRetryable: false },
  'key-missing': { status: 400, isRetryable: false },
  'no-route': { status: 404, isRetryable: false },
  'key-conflict': { status: 409, isRetryable: false },
  'too-large': { status: 413, isRetryable: false },
  'rate-limited': { status: 429, isRetryable: true },
  cancelled: { status: 499, isRetryable: false },
  overloaded: { status: 503, isRetryable: true },
  draining: { status: 503, isRetryable: true },
  'no-endpoint': { status: 503, isRetryable: true },
  unreachable: { status: 503, isRetryable: true },
  quarantined: { status: 503, isRetryable: true },
  'store-unavailable': { status: 503, isRetryable: true },
  'not-ready': { status: 503, isRetryable: true },
  deadline: { status: 504, isRetryable: false }
})

const DEADLINE_EXCEEDED: IRefusalResponse = Object.freeze({ status: 504, isRetryable: false })
const UNKNOWN_OUTCOME: IRefusalResponse = Object.freeze({ status: 502, isRetryable: false })

/** Response status for a call that was refused or whose response was lost. */
export function refusalResponse (outcome: Exclude<CallOutcome, { kind: 'answered' }>): IRefusalResponse {
  if (outcome.kind === 'not-run') return STATUS_BY_REASON[outcome.reason]
  return outcome.reason === 'deadline' ? DEADLINE_EXCEEDED : UNKNOWN_OUTCOME
}
