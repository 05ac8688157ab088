/** All benchmarks, one line each. */
import { CONTROL_BYTES } from './ControlBytes.js'
import { CONVERGENCE } from './Convergence.js'
import type { IBench } from './Types.js'

export const BENCHES: readonly IBench[] = Object.freeze([
  CONVERGENCE,
  CONTROL_BYTES,
import { CRASH_REQUEST_BENCH } from './gate/CrashRequestBench.js'
import { DRAIN_BENCH } from './gate/DrainBench.js'
import { OVERLOAD_BENCH } from './gate/OverloadBench.js'

export const BENCHES: readonly IBench[] = Object.freeze([
  DRAIN_BENCH,
  OVERLOAD_BENCH,
  CRASH_REQUEST_BENCH
])
