/** Errors of mesh/. */
import { SavoryknotError } from '../common/SavoryknotError.js'

/** A configuration that cannot be read or contradicts itself. */
export class ConfigurationError extends SavoryknotError {}

/** A row, a report or a setting of the mesh that cannot be read. */
export class MalformedRecordError extends SavoryknotError {}
