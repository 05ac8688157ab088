/** Head and body of a request to the gate of another node. */
import { PassThrough, type Readable } from 'node:stream'
import type { Timestamp } from '../common/Types.js'
import { HEADER, type ICall } from '../gate/Types.js'

/** Largest allowance for the way of the answer, taken off the time that the gate is given. */
const HOP_ALLOWANCE_LIMIT_MS = 10
/** Share of the remaining time that is taken off for the way of the answer. */
const HOP_ALLOWANCE_SHARE = 0.05

/** The time that the gate is given: less than what remains here, so that its refusal arrives in time. */
export function remainingForGate (call: ICall, now: Timestamp): number {
  const remaining = call.deadlineAt - now
  return Math.max(1, Math.floor(remaining - Math.min(HOP_ALLOWANCE_LIMIT_MS, remaining * HOP_ALLOWANCE_SHARE)))
}

/** Fields that undici refuses or writes itself. */
const NOT_SENT: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding', 'connection', 'keep-alive', 'upgrade', 'expect'])

const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/
const FIELD_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/
const TARGET = /^\/[\x21-\x7e]*$/

/**
 * Tells whether undici will take the request. What it refuses must not reach it:
 * a pool counts the connection of a refused request as busy for good.
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

/** Names and values in turn. */
export function headersToSend (call: ICall, now: Timestamp): string[] {
  const fields: string[] = [
    HEADER.requestId, call.requestId,
    HEADER.service, call.service,
    HEADER.route, call.route,
    HEADER.version, String(call.version),
    HEADER.deadline, String(remainingForGate(call, now)),
    HEADER.depth, String(call.depth)
  ]
  const { headers } = call
  if (call.bodyContent === undefined && call.body !== undefined && call.bodyBytes !== undefined) fields.push('content-length', String(call.bodyBytes))
  for (const name in headers) {
    if (NOT_SENT.has(name)) continue
    const value = headers[name]
    if (typeof value === 'string') fields.push(name, value)
    else if (value !== undefined) for (const one of value) fields.push(name, one)
  }
  return fields
}

/** The body for undici. A stream goes through a relay, because undici destroys the body of a request that fails. */
export function bodyToSend (call: ICall): Buffer | Readable | null {
  const { body, bodyContent } = call
  if (bodyContent !== undefined) return bodyContent
  if (body === undefined) return null
  const relay = new PassThrough()
  body.on('error', (error) => relay.destroy(error))
  return body.pipe(relay)
}
