/** Errors of mesh/. */
import { SavoryknotError } from '../common/SavoryknotError.js'

/** A configuration cannot be parsed or is inconsistent. */
export class ConfigurationError extends SavoryknotError {}

/** A report describes an endpoint that is not the one of this VM. */
export class ForeignReportError extends SavoryknotError {}

/** A row, a report or a setting of the mesh cannot be parsed. */
export class MalformedRecordError extends SavoryknotError {}
