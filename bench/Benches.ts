/** All benchmarks, one line each. */
import { ADDED_LATENCY } from './AddedLatency.js'
import { CONTROL_BYTES } from './ControlBytes.js'
import { CONTROL_COST_BENCH } from './ControlCostBench.js'
import { CONVERGENCE } from './Convergence.js'
import { CRASH_REQUEST_BENCH } from './gate/CrashRequestBench.js'
import { DRAIN_BENCH } from './gate/DrainBench.js'
import { HERD_BENCH } from './HerdBench.js'
import { OVERLOAD_BENCH } from './gate/OverloadBench.js'
import { PARTITION_BENCH } from './PartitionBench.js'
import type { IBench } from './Types.js'

export const BENCHES: readonly IBench[] = Object.freeze([
  ADDED_LATENCY,
  CONTROL_BYTES,
  CONTROL_COST_BENCH,
  CONVERGENCE,
  CRASH_REQUEST_BENCH,
  DRAIN_BENCH,
  HERD_BENCH,
  OVERLOAD_BENCH,
  PARTITION_BENCH
])
