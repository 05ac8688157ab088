/** Errors of the operator port. */
import { SavoryknotError } from '../common/SavoryknotError.js'

/** The requested object does not exist. */
export class NotFoundError extends SavoryknotError {}

/** The client's certificate does not allow the call. */
export class ForbiddenError extends SavoryknotError {}

/** The call's arguments are out of range or missing. */
export class InvalidArgumentError extends SavoryknotError {}
