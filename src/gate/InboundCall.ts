/** Parses calls that other nodes send to the gate. */
import type { IncomingMessage } from 'node:http'
import { isName } from '../common/Ids.js'
import type { DocumentVersion, IdempotencyKey, RequestId, RouteName, ServiceName, Timestamp } from '../common/Types.js'
import type { ISnapshot } from '../documents/Types.js'
import type { HttpInbound } from './HttpInbound.js'
import { findRoute } from './RouteLimits.js'
import { HEADER, type ICall, type NotRunReason } from './Types.js'

const REQUEST_ID_PATTERN = /^[\w-]{1,64}$/
const NUMBER_PATTERN = /^\d{1,9}$/

/** The parsed call, or the reason why it is refused. */
export type InboundCall =
  | { readonly isValid: true, readonly call: ICall }
  | { readonly isValid: false, readonly reason: NotRunReason }

/** Request id of a request; undefined if it is missing or malformed. */
export function readRequestId (message: IncomingMessage): RequestId | undefined {
  const value = message.headers[HEADER.requestId]
  return typeof value === 'string' && REQUEST_ID_PATTERN.test(value) ? value as RequestId : undefined
}

/** Builds the call of a request from the named route in the snapshot. `content` is the body if it has already been read. */
export function readCall (
  inbound: HttpInbound, content: Buffer | undefined, snapshot: ISnapshot, requestId: RequestId, now: Timestamp
): InboundCall {
  const { headers } = inbound
  const service = headers[HEADER.service]
  const name = headers[HEADER.route]
  if (typeof service !== 'string' || typeof name !== 'string' || !isName(service) || !isName(name)) return { isValid: false, reason: 'malformed' }
  const remaining = readNumber(headers[HEADER.deadline])
  const version = readNumber(headers[HEADER.version])
  const depth = readNumber(headers[HEADER.depth] ?? '0')
  if (remaining === undefined || version === undefined || depth === undefined) return { isValid: false, reason: 'malformed' }
  const route = findRoute(snapshot, service as ServiceName, name as RouteName)
  if (route === undefined) return { isValid: false, reason: 'no-route' }
  const key = headers[HEADER.idempotencyKey]
  const isBehind = version > (snapshot.documents.get(service as ServiceName)?.version ?? 0)
  // A newer version may have made the route at-most-once. Until this node has that version,
  // it refuses requests with an idempotency key, because it would run them without a claim.
  if (isBehind && key !== undefined && route.repeat !== 'at-most-once') return { isValid: false, reason: 'not-ready' }
  const call: ICall = {
    requestId,
    service: service as ServiceName,
    route: route.name,
    version: version as DocumentVersion,
    targetService: route.target.service,
    targetResource: route.target.resource,
    method: inbound.method,
    path: inbound.path,
    headers,
    body: inbound.body,
    bodyContent: content,
    bodyBytes: inbound.bodyBytes,
    deadlineAt: now + Math.min(remaining, route.deadline) as Timestamp,
    class: route.class,
    repeat: route.repeat,
    idempotencyKey: typeof key === 'string' ? key as IdempotencyKey : undefined,
    depth,
    onCancelled: inbound.onCancelled,
    get isCancelled () { return inbound.isCancelled }
  }
  return { isValid: true, call }
}

/** Parses a non-negative integer of at most nine digits. */
function readNumber (value: string | string[] | undefined): number | undefined {
  return typeof value === 'string' && NUMBER_PATTERN.test(value) ? Number(value) : undefined
}
