/** Errors of the operator port. */
import { SavoryknotError } from '../common/SavoryknotError.js'

/** What was asked for is not known. */
export class NotFoundError extends SavoryknotError {}

/** The client's certificate does not allow the call. */
export class ForbiddenError extends SavoryknotError {}

/** The call's arguments are out of range or missing. */
export class InvalidArgumentError extends SavoryknotError {}
