/** Errors of the command-line tool; each becomes an exit code. */
import { SavoryknotError } from '../common/SavoryknotError.js'

/** The node, or the store behind it, could not be reached. */
export class UnreachableError extends SavoryknotError {}

/** The node refused the call. */
export class RefusedError extends SavoryknotError {}

/** The command line itself is wrong. */
export class UsageError extends SavoryknotError {}
