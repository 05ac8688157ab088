/** Tells from requests that are still under way that an endpoint has turned slow. */
import type { Timestamp } from '../../common/Types.js'

/** Requests that have run this multiple of the usual time, on average, show that the endpoint has turned slow. */
const SLOW_AGE_FACTOR = 1.8

/**
 * The usual time, or the mean age of what runs if that is far more. Where times do not change the mean age is about half
 * of them, so that a far larger one tells before any request has ended.
 */
export function presentTime (usual: number, startTimes: Iterable<Timestamp>, now: Timestamp): number {
  let sum = 0
  let count = 0
  for (const startedAt of startTimes) {
    sum += now - startedAt
    count++
  }
  const age = count === 0 ? 0 : sum / count
  return age > usual * SLOW_AGE_FACTOR ? age : usual
}
