/** All benchmarks, one line each. */
import { Acceptance } from './Acceptance.js'
import { ADDED_LATENCY } from './AddedLatency.js'
import { AT_REST } from './AtRest.js'
import { CONTROL_BYTES } from './ControlBytes.js'
import { CONTROL_COST_BENCH } from './ControlCostBench.js'
import { CONVERGENCE } from './Convergence.js'
import { CRASH_REQUEST_BENCH } from './gate/CrashRequestBench.js'
import { DISTRIBUTION_COST } from './DistributionCost.js'
import { DocumentFuzz } from './DocumentFuzz.js'
import { DRAIN_BENCH } from './gate/DrainBench.js'
import { FreshReader } from './FreshReader.js'
import { OVERLOAD_BENCH } from './gate/OverloadBench.js'
import { SnapshotBuild } from './SnapshotBuild.js'
import { SOAK } from './Soak.js'
import { SYSTEM_BENCH } from './system/SystemBench.js'
import type { IBench } from './Types.js'

export const BENCHES: readonly IBench[] = Object.freeze([
  new Acceptance(),
  ADDED_LATENCY,
  AT_REST,
  CONTROL_BYTES,
  CONTROL_COST_BENCH,
  CONVERGENCE,
  CRASH_REQUEST_BENCH,
  DISTRIBUTION_COST,
  new DocumentFuzz(),
  DRAIN_BENCH,
  new FreshReader(),
  OVERLOAD_BENCH,
  new SnapshotBuild(),
  SOAK,
  SYSTEM_BENCH
])
