/** Adds up counts of good and bad responses in time buckets; older buckets are longer. */
import type { Timestamp } from '../../common/Types.js'
import type { IBurnMinute } from '../Services.js'

const MINUTE_MS = 60_000
const HOUR_MS = 60 * MINUTE_MS

/** Length of the buckets by age, youngest first. Counts older than the last age are dropped. */
const BUCKET_LENGTHS = Object.freeze([
  { ageMs: 15 * MINUTE_MS, bucketMs: MINUTE_MS },
  { ageMs: 75 * MINUTE_MS, bucketMs: 5 * MINUTE_MS },
  { ageMs: 7 * HOUR_MS, bucketMs: 30 * MINUTE_MS },
  { ageMs: 75 * HOUR_MS, bucketMs: 3 * HOUR_MS }
])

/** Counts whose minute starts later than this after the current time are ignored. */
const MAXIMUM_FUTURE_MS = 2 * MINUTE_MS

/** Adds up the counts of the same service and bucket; the result is sorted by bucket, newest first. */
export function mergeBurn (counts: Iterable<IBurnMinute>, now: Timestamp): readonly IBurnMinute[] {
  const buckets = new Map<string, IBurnMinute>()
  for (const count of counts) {
    const start = bucketStart(count.minute, now)
    if (start === undefined) continue
    const key = `${count.service} ${start}`
    const existing = buckets.get(key)
    buckets.set(key, {
      service: count.service,
      minute: start,
      good: count.good + (existing?.good ?? 0),
      bad: count.bad + (existing?.bad ?? 0)
    })
  }
  return [...buckets.values()].sort((left, right) => right.minute - left.minute)
}

/** Start of the bucket of a count of this minute; undefined if the minute is too old or too far in the future. */
function bucketStart (minute: Timestamp, now: Timestamp): Timestamp | undefined {
  const age = now - minute
  if (age < -MAXIMUM_FUTURE_MS) return undefined
  const resolution = BUCKET_LENGTHS.find((candidate) => age < candidate.ageMs)
  if (resolution === undefined) return undefined
  return Math.floor(minute / resolution.bucketMs) * resolution.bucketMs as Timestamp
}
