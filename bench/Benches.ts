/** All benchmarks, one line each. */
import { FreshReader } from './FreshReader.js'
import type { IBench } from './Types.js'

export const BENCHES: readonly IBench[] = Object.freeze([
  new FreshReader(),
])
