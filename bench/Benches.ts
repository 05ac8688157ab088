/** All benchmarks, one line each. */
import { ADDED_LATENCY } from './AddedLatency.js'
import { Acceptance } from './Acceptance.js'
import { CONTROL_BYTES } from './ControlBytes.js'
import { CONVERGENCE } from './Convergence.js'
import { CRASH_REQUEST_BENCH } from './gate/CrashRequestBench.js'
import { DocumentFuzz } from './DocumentFuzz.js'
import { DRAIN_BENCH } from './gate/DrainBench.js'
import { FreshReader } from './FreshReader.js'
import { OVERLOAD_BENCH } from './gate/OverloadBench.js'
import { SnapshotBuild } from './SnapshotBuild.js'
import type { IBench } from './Types.js'

export const BENCHES: readonly IBench[] = Object.freeze([
  new Acceptance(),
  ADDED_LATENCY,
  CONTROL_BYTES,
  CONVERGENCE,
  CRASH_REQUEST_BENCH,
  new DocumentFuzz(),
  DRAIN_BENCH,
  new FreshReader(),
  OVERLOAD_BENCH,
  new SnapshotBuild()
])
