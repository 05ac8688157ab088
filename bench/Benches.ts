/** All benchmarks, in the order in which they run. */
import { ACCEPTANCE } from './Acceptance.js'
import { ADDED_LATENCY } from './AddedLatency.js'
import { AT_REST } from './AtRest.js'
import { CONTROL_BYTES } from './ControlBytes.js'
import { CONTROL_COST_BENCH } from './ControlCostBench.js'
import { CONVERGENCE } from './Convergence.js'
import { DISTRIBUTION_COST } from './DistributionCost.js'
import { DOCUMENT_FUZZ } from './DocumentFuzz.js'
import { FRESH_READER } from './FreshReader.js'
import { GRAY } from './Gray.js'
import { HERD_BENCH } from './HerdBench.js'
import { PARTITION_BENCH } from './PartitionBench.js'
import { RETRIES } from './Retries.js'
import { SNAPSHOT_BUILD } from './SnapshotBuild.js'
import { DOCUMENT_SOAK } from './DocumentSoak.js'
import { AT_MOST_ONCE_BENCH } from './gate/AtMostOnceBench.js'
import { CRASH_REQUEST_BENCH } from './gate/CrashRequestBench.js'
import { DRAIN_BENCH } from './gate/DrainBench.js'
import { OVERLOAD_BENCH } from './gate/OverloadBench.js'
import { REPLAY_BENCH } from './replay/ReplayBench.js'
import { SYSTEM_BENCH } from './system/SystemBench.js'
import type { IBench } from './Types.js'

export const BENCHES: readonly IBench[] = Object.freeze([
  ACCEPTANCE,
  ADDED_LATENCY,
  AT_REST,
  CONTROL_BYTES,
  CONTROL_COST_BENCH,
  CONVERGENCE,
  DISTRIBUTION_COST,
  DOCUMENT_FUZZ,
  FRESH_READER,
  GRAY,
  HERD_BENCH,
  PARTITION_BENCH,
  RETRIES,
  SNAPSHOT_BUILD,
  DOCUMENT_SOAK,
  AT_MOST_ONCE_BENCH,
  CRASH_REQUEST_BENCH,
  DRAIN_BENCH,
  OVERLOAD_BENCH,
  REPLAY_BENCH,
  SYSTEM_BENCH
])
