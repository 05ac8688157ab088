/** All benchmarks, one line each. */
import { CONTROL_COST_BENCH } from './ControlCostBench.js'
import type { IBench } from './Types.js'

export const BENCHES: readonly IBench[] = Object.freeze([
  CONTROL_COST_BENCH,
])
