/** Creates and validates branded identifiers. */
import { createHash, randomBytes, randomFillSync } from 'node:crypto'
import type { ContentHash, Timestamp, Milliseconds, NodeId, RequestId, SubmissionId } from './Types.js'

/** Lower-case letters, digits and inner hyphens; 1 to 63 characters. */
const NAME_PATTERN = /^[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?$/

const ID_BYTES = 12

/** Random bytes generated per call: one call costs about as much as the rest of creating an id. */
const POOL_BYTES = ID_BYTES * 512
const pool = Buffer.allocUnsafeSlow(POOL_BYTES)
let poolUsed = POOL_BYTES

/** Whether `text` is a valid name of a service, resource, route, team, failure domain or region. */
export function isName (text: string): boolean {
  return NAME_PATTERN.test(text)
}

/** SHA-256 of a document's text. */
export function hashContent (text: string | Uint8Array): ContentHash {
  return createHash('sha256').update(text).digest('hex') as ContentHash
}

/** A new random node id. */
export function createNodeId (): NodeId {
  return randomBytes(ID_BYTES).toString('hex') as NodeId
}

/** A new random submission id. */
export function createSubmissionId (): SubmissionId {
  return randomBytes(ID_BYTES).toString('hex') as SubmissionId
}

/** A new random request id. */
export function createRequestId (): RequestId {
  if (poolUsed === POOL_BYTES) {
    randomFillSync(pool)
    poolUsed = 0
  }
  const start = poolUsed
  poolUsed += ID_BYTES
  return pool.toString('base64url', start, poolUsed) as RequestId
}

/** The time `duration` after `time`. */
export function addDuration (time: Timestamp, duration: Milliseconds): Timestamp {
  return time + duration as Timestamp
}

/** The duration from `start` to `end`. */
export function durationBetween (start: Timestamp, end: Timestamp): Milliseconds {
  return end - start as Milliseconds
}
