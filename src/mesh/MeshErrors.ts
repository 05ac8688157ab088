/** Errors of mesh/. */
import { SavoryknotError } from '../common/SavoryknotError.js'

/** A configuration cannot be parsed or is inconsistent. */
export class ConfigurationError extends SavoryknotError {}

/** A row, a report or a setting of the mesh cannot be parsed. */
export class MalformedRecordError extends SavoryknotError {}
