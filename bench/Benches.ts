/** All benchmarks, one line each. */
import type { IBench } from './Types.js'

export const BENCHES: readonly IBench[] = Object.freeze([
])
