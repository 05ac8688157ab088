/** Random parts of waits. */
import type { IRandomService } from './Services.js'
import type { Milliseconds } from './Types.js'

/** A wait from the upper half of `bound`: callers that failed together do not come back together, and none at once. */
export function drawUpperHalf (bound: number, random: IRandomService): Milliseconds {
  return bound * (1 + random.fraction()) / 2 as Milliseconds
}
