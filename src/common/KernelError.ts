/** Errors of the micro-kernel. */
import { SavoryknotError } from './SavoryknotError.js'

/** A service is missing, registered twice, or part of a cycle. */
export class KernelError extends SavoryknotError {}
