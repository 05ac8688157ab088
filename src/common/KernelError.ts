/** Errors of the kernel. */
import { SavoryknotError } from './SavoryknotError.js'

/** Thrown if a service is missing, registered twice, or part of a dependency cycle. */
export class KernelError extends SavoryknotError {}
