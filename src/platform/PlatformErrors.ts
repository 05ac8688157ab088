/** Errors of the services of the platform. */
import { SavoryknotError } from '../common/SavoryknotError.js'

/** The request failed, and nothing was written. */
export class PlatformUnavailableError extends SavoryknotError {}

/** The response to a write was lost or invalid; the write may have taken effect. */
export class OutcomeUnknownError extends SavoryknotError {}

/** The store no longer has all changes after the requested position; the complete table must be read again. */
export class HistoryLostError extends SavoryknotError {}
