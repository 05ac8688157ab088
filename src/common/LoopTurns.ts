/** Counts the turns of the event loop of this process. */
import { performance } from 'node:perf_hooks'

/**
 * Turns so far. What lies ready on several connections is read in one turn; a close behind it, and each further new
 * connection, take turns of their own.
 */
export function loopTurns (): number {
  return performance.nodeTiming.uvMetricsInfo.loopCount
}
