/** Errors of the platform's services. */
import { SavoryknotError } from '../common/SavoryknotError.js'

/** The platform did not do what was asked, and nothing was written. */
export class PlatformUnavailableError extends SavoryknotError {}

/** The platform's answer was lost; a write may have taken effect. */
export class OutcomeUnknownError extends SavoryknotError {}

/** The store has dropped the history that a change feed was to go on from; the table must be read anew. */
export class HistoryLostError extends SavoryknotError {}
