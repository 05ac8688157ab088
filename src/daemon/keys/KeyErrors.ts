/** Errors of keys and certificates. */
import { SavoryknotError } from '../../common/SavoryknotError.js'

/** A certificate, key or authority file cannot be read, or the files do not match. */
export class KeyFileError extends SavoryknotError {}
