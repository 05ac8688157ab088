/** Errors of keys and certificates. */
import { SavoryknotError } from '../../common/SavoryknotError.js'

/** A certificate, key or authority file cannot be read, or they do not fit together. */
export class KeyFileError extends SavoryknotError {}
