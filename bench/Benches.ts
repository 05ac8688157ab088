/** All benchmarks, one line each. */
import { ADDED_LATENCY } from './AddedLatency.js'
import type { IBench } from './Types.js'

export const BENCHES: readonly IBench[] = Object.freeze([
  ADDED_LATENCY
])
