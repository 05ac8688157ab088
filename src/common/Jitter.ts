/** Jitter for retry delays. */
import type { IRandomService } from './Services.js'
import type { Milliseconds } from './Types.js'

/**
 * A random delay between half of `bound` and `bound` ("equal jitter"): clients that failed at the same time do not retry at the same
 * time, and none retries immediately.
 */
export function drawEqualJitter (bound: number, random: IRandomService): Milliseconds {
  return bound * (1 + random.fraction()) / 2 as Milliseconds
}
