/** All benchmarks, one line each. */
import { Acceptance } from './Acceptance.js'
import { FreshReader } from './FreshReader.js'
import { SnapshotBuild } from './SnapshotBuild.js'
import type { IBench } from './Types.js'

export const BENCHES: readonly IBench[] = Object.freeze([
  new Acceptance(),
  new FreshReader(),
  new SnapshotBuild(),
])
