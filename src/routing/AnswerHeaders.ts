/** Reads the headers that gates put on their answers. */
import type { IncomingHttpHeaders } from 'node:http'
import type { NotRunReason } from '../gate/Types.js'

/** Every header of this name space is between nodes; it is taken off before an answer goes on. */
const OWN_PREFIX = 'savoryknot-'

const OCCUPANCY_PATTERN = /^(\d{1,6})\/(\d{1,6})$/

const NOT_RUN_REASONS: ReadonlySet<string> = new Set<NotRunReason>([
  'overloaded', 'draining', 'deadline', 'cancelled', 'no-endpoint', 'no-route', 'unreachable', 'quarantined',
  'key-missing', 'key-conflict', 'store-unavailable', 'too-large', 'rate-limited', 'malformed', 'not-ready'
])

/** Occupancy of an endpoint as an answer carried it. */
export interface IReportedOccupancy {
  readonly used: number
  readonly slots: number
}

/** Parses `used/slots`; undefined if it is missing or malformed. */
export function parseOccupancy (value: string | string[] | undefined): IReportedOccupancy | undefined {
  if (typeof value !== 'string') return undefined
  const parts = OCCUPANCY_PATTERN.exec(value)
  return parts === null ? undefined : { used: Number(parts[1]), slots: Number(parts[2]) }
}

/**
 * The reason of a gate's refusal. One that this program does not know counts as an endpoint that can't take calls, and
 * so does a gate without the route: it holds another version of the document, and another gate may hold the right one.
 */
export function parseNotRunReason (value: string | string[] | undefined): NotRunReason {
  if (typeof value !== 'string' || value === 'no-route' || !NOT_RUN_REASONS.has(value)) return 'not-ready'
  return value as NotRunReason
}

/** A copy without the headers between nodes. Deleting them instead would turn the object into a slow one. */
export function withoutOwnHeaders (headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const kept: IncomingHttpHeaders = {}
  for (const name in headers) {
    if (!name.startsWith(OWN_PREFIX)) kept[name] = headers[name]
  }
  return kept
}

/** True if an answer with this status to this method has a body. */
export function hasAnswerBody (method: string, status: number): boolean {
  return method !== 'HEAD' && status !== 204 && status !== 304
}

/** Reads a header that stands at most once. */
export function singleHeader (headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name]
  return typeof value === 'string' ? value : undefined
}
