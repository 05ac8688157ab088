/** Head and body of a request to the gate of another node. */
import type { Readable } from 'node:stream'
import type { Timestamp } from '../common/Types.js'
import { BodyRelay } from '../gate/BodyRelay.js'
import { HEADER, type ICall } from '../gate/Types.js'

/** Maximum time reserved for the transit of the response, subtracted from the deadline that is sent to the gate. */
const MAXIMUM_RESPONSE_TRANSIT_MS = 10
/** Share of the remaining time that is reserved for the transit of the response. */
const RESPONSE_TRANSIT_SHARE = 0.05

/**
 * Returns the time that the gate may use: less than the remaining time here, so that a refusal of the gate arrives
 * before the deadline.
 */
export function timeoutForGate (call: ICall, now: Timestamp): number {
  const remaining = call.deadlineAt - now
  return Math.max(1, Math.floor(remaining - Math.min(MAXIMUM_RESPONSE_TRANSIT_MS, remaining * RESPONSE_TRANSIT_SHARE)))
}

/** Fields that undici rejects or writes itself. */
const EXCLUDED_FIELDS: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding', 'connection', 'keep-alive', 'upgrade', 'expect'])

const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/
const FIELD_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/
const TARGET = /^\/[\x21-\x7e]*$/

/**
 * Returns whether undici accepts the request. A request that undici rejects must not be dispatched, because its pool
 * would count the connection of that request as busy permanently.
 */
export function isSendable (call: ICall): boolean {
  if (!TOKEN.test(call.method) || call.method === 'CONNECT' || !TARGET.test(call.path)) return false
  for (const name in call.headers) {
    if (!TOKEN.test(name)) return false
    const value = call.headers[name]
    if (typeof value === 'string' ? !FIELD_VALUE.test(value) : value?.some((one) => !FIELD_VALUE.test(one)) === true) return false
  }
  return true
}

/** Returns the header fields as a list of alternating names and values. */
export function headersToSend (call: ICall, now: Timestamp): string[] {
  const fields: string[] = [
    HEADER.requestId, call.requestId,
    HEADER.service, call.service,
    HEADER.route, call.route,
    HEADER.version, String(call.version),
    HEADER.deadline, String(timeoutForGate(call, now)),
    HEADER.depth, String(call.depth)
  ]
  const { headers } = call
  if (call.bodyContent === undefined && call.body !== undefined && call.bodyBytes !== undefined) fields.push('content-length', String(call.bodyBytes))
  for (const name in headers) {
    if (EXCLUDED_FIELDS.has(name)) continue
    const value = headers[name]
    if (typeof value === 'string') fields.push(name, value)
    else if (value !== undefined) for (const one of value) fields.push(name, one)
  }
  return fields
}

/** Returns the body for undici. A stream is read through a relay, because undici destroys the body stream of a failed request. */
export function bodyToSend (call: ICall): Buffer | Readable | null {
  const { body, bodyContent } = call
  if (bodyContent !== undefined) return bodyContent
  if (body === undefined) return null
  return new BodyRelay(body)
}
