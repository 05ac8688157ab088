/** Counts the iterations of the event loop of this process. */
import { performance } from 'node:perf_hooks'

/**
 * Number of iterations so far. Input that is ready on several connections is read in a single iteration; a close that follows the
 * input, and each further new connection, take an iteration of their own.
 */
export function eventLoopIterations (): number {
  return performance.nodeTiming.uvMetricsInfo.loopCount
}
