/** All benchmarks, one line each. */
import { ADDED_LATENCY } from './AddedLatency.js'
import { CONTROL_BYTES } from './ControlBytes.js'
import { CONVERGENCE } from './Convergence.js'
import { CRASH_REQUEST_BENCH } from './gate/CrashRequestBench.js'
import { DRAIN_BENCH } from './gate/DrainBench.js'
import { OVERLOAD_BENCH } from './gate/OverloadBench.js'
import { GRAY } from './Gray.js'
import { RETRIES } from './Retries.js'
import type { IBench } from './Types.js'

export const BENCHES: readonly IBench[] = Object.freeze([
  ADDED_LATENCY,
  CONTROL_BYTES,
  CONVERGENCE,
  CRASH_REQUEST_BENCH,
  DRAIN_BENCH,
  GRAY,
  OVERLOAD_BENCH,
  RETRIES
])
