/** Errors of the gate. */
import type { NotRunReason } from './Types.js'
import { SavoryknotError } from '../common/SavoryknotError.js'

/** No connection to the upstream could be had. */
export class UpstreamUnreachableError extends SavoryknotError {}

/** The exchange was ended by this program: deadline, cancellation or an answer that may not be passed on. */
export class ExchangeAbortedError extends SavoryknotError {}

/** The request was refused at the last moment before its first byte. */
export class StartRefusedError extends SavoryknotError {
  constructor (public readonly reason: NotRunReason) {
    super(`not started: ${reason}`, { step: 'gate.start' })
  }
}
