/** Errors of the gate. */
import type { NotRunReason } from './Types.js'
import { SavoryknotError } from '../common/SavoryknotError.js'

/** No connection to the upstream could be opened. */
export class UpstreamUnreachableError extends SavoryknotError {}

/** The exchange was aborted by the gate: deadline, cancellation, or a response that must not be forwarded. */
export class ExchangeAbortedError extends SavoryknotError {}

/** The request was refused immediately before its first byte was sent. */
export class StartRefusedError extends SavoryknotError {
  constructor (public readonly reason: NotRunReason) {
    super(`request not started: ${reason}`, { step: 'gate.start' })
  }
}
