/** All benchmarks, one line each. */
import { CONTROL_BYTES } from './ControlBytes.js'
import { CONVERGENCE } from './Convergence.js'
import { SOAK } from './Soak.js'
import type { IBench } from './Types.js'

export const BENCHES: readonly IBench[] = Object.freeze([
  CONVERGENCE,
  CONTROL_BYTES,
  SOAK
])
