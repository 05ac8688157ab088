/** Adds up counts of good and bad answers; the older they are, the longer the buckets. */
import type { Timestamp } from '../../common/Types.js'
import type { IBurnMinute } from '../Services.js'

const MINUTE_MS = 60_000
const HOUR_MS = 60 * MINUTE_MS

/** Length of buckets by age, the youngest first. Counts older than the last age are dropped. */
const RESOLUTIONS = Object.freeze([
  { ageMs: 15 * MINUTE_MS, bucketMs: MINUTE_MS },
  { ageMs: 75 * MINUTE_MS, bucketMs: 5 * MINUTE_MS },
  { ageMs: 7 * HOUR_MS, bucketMs: 30 * MINUTE_MS },
  { ageMs: 75 * HOUR_MS, bucketMs: 3 * HOUR_MS }
])

/** Counts that begin later than this after the present are not believed. */
const FUTURE_LIMIT_MS = 2 * MINUTE_MS

/** Adds counts of the same service and bucket, the newest bucket first. */
export function mergeBurn (counts: Iterable<IBurnMinute>, now: Timestamp): readonly IBurnMinute[] {
  const buckets = new Map<string, IBurnMinute>()
  for (const count of counts) {
    const start = bucketStart(count.minute, now)
    if (start === undefined) continue
    const key = `${count.service} ${start}`
    const known = buckets.get(key)
    buckets.set(key, {
      service: count.service,
      minute: start,
      good: count.good + (known?.good ?? 0),
      bad: count.bad + (known?.bad ?? 0)
    })
  }
  return [...buckets.values()].sort((left, right) => right.minute - left.minute)
}

/** Start of the bucket for a count of that minute; undefined if it is too old. */
function bucketStart (minute: Timestamp, now: Timestamp): Timestamp | undefined {
  const age = now - minute
  if (age < -FUTURE_LIMIT_MS) return undefined
  const resolution = RESOLUTIONS.find((candidate) => age < candidate.ageMs)
  if (resolution === undefined) return undefined
  return Math.floor(minute / resolution.bucketMs) * resolution.bucketMs as Timestamp
}
