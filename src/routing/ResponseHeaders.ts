/** Parses the headers of responses from gates. */
import type { IncomingHttpHeaders } from 'node:http'
import type { NotRunReason } from '../gate/Types.js'

/** Prefix of headers between nodes; these are removed before a message is forwarded. */
const INTERNAL_PREFIX = 'savoryknot-'

const OCCUPANCY_PATTERN = /^(\d{1,6})\/(\d{1,6})$/

const NOT_RUN_REASONS: ReadonlySet<string> = new Set<NotRunReason>([
  'overloaded', 'draining', 'deadline', 'cancelled', 'no-endpoint', 'no-route', 'unreachable', 'quarantined',
  'key-missing', 'key-conflict', 'store-unavailable', 'too-large', 'rate-limited', 'malformed', 'not-ready'
])

/** Occupancy of an endpoint as reported in a response. */
export interface IReportedOccupancy {
  readonly used: number
  readonly slots: number
}

/** Parses `used/slots`; returns undefined if the value is missing or malformed. */
export function parseOccupancy (value: string | string[] | undefined): IReportedOccupancy | undefined {
  if (typeof value !== 'string') return undefined
  const parts = OCCUPANCY_PATTERN.exec(value)
  return parts === null ? undefined : { used: Number(parts[1]), slots: Number(parts[2]) }
}

/**
 * Returns the reason of a gate's refusal. An unknown reason is treated as an endpoint that can't accept calls. So is a gate
 * without the route: the gate has another version of the document, and a further gate may have the matching version.
 */
export function parseNotRunReason (value: string | string[] | undefined): NotRunReason {
  if (typeof value !== 'string' || value === 'no-route' || !NOT_RUN_REASONS.has(value)) return 'not-ready'
  return value as NotRunReason
}

/**
 * Returns a copy without the headers between nodes. Deleting properties instead would make V8 switch the object to its
 * slow dictionary mode.
 */
export function withoutInternalHeaders (headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const kept: IncomingHttpHeaders = {}
  for (const name in headers) {
    if (!name.startsWith(INTERNAL_PREFIX)) kept[name] = headers[name]
  }
  return kept
}

/** Returns whether a response with `status` to `method` has a body. */
export function hasResponseBody (method: string, status: number): boolean {
  return method !== 'HEAD' && status !== 204 && status !== 304
}

/** Returns the value of a header that may occur at most once; undefined if it is missing or a list. */
export function singleHeader (headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name]
  return typeof value === 'string' ? value : undefined
}
