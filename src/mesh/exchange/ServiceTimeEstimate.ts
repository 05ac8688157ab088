/** Detects from the age of requests in flight that an endpoint has become slow. */
import type { Timestamp } from '../../common/Types.js'

/** An endpoint counts as slow when the mean age of its requests in flight exceeds this multiple of the usual service time. */
const SLOW_AGE_FACTOR = 1.8

/**
 * Returns the current service time estimate: the usual service time, or the mean age of the requests in flight if it is much larger.
 * At a constant service time the mean age is about half of the service time, so a much larger mean age shows a slow endpoint before
 * any of the requests has finished.
 */
export function currentServiceTime (usualServiceTime: number, startTimes: Iterable<Timestamp>, now: Timestamp): number {
  let sum = 0
  let count = 0
  for (const startedAt of startTimes) {
    sum += now - startedAt
    count++
  }
  const age = count === 0 ? 0 : sum / count
  return age > usualServiceTime * SLOW_AGE_FACTOR ? age : usualServiceTime
}
