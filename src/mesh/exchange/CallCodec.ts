/** Encodes calls and outcomes as header fields for the transfer between nodes. */
import type { IncomingHttpHeaders } from 'node:http'
import type { EndpointId, Milliseconds, RequestId, RouteName, ServiceName, Timestamp } from '../../common/Types.js'
import { fieldsOf } from '../../gate/HeaderRules.js'
import { singleHeader } from '../../routing/ResponseHeaders.js'
import { decodeCrash, encodeCrash } from '../crashes/CrashCodec.js'
import type { AttemptOutcome, IEndpointLoad, IMeshCall, ICompleteResponse, RefusalReason } from '../Types.js'
import type { PeerClock } from './PeerClock.js'

/** Header fields between nodes. A call and an outcome use one field each, since traffic between regions is billed by volume. */
export const NODE_HEADER = Object.freeze({
  /** The components of a call, see `encodeCall`. */
  call: 'savoryknot-call',
  /**
   * Kind, reason, and time after which to retry, in milliseconds; the kind is `answered`, `refused` or `unknown`. Behind them, ID,
   * fingerprint and kind of the crash of the endpoint, if there was one.
   */
  outcome: 'savoryknot-outcome',
  /** Occupied, slots, service time, failure percent, time at the node, and the time of the node's clock, separated by slashes. */
  load: 'savoryknot-load',
  /** `probe` or `settle`, on requests that are not calls. */
  purpose: 'savoryknot-purpose',
  /** ID of the request that a settle query is about. */
  requestId: 'savoryknot-request-id',
  /** Token of the process that responds; on a settle query, token of the process that the request was sent to. */
  processToken: 'savoryknot-process',
  /** RPC address of the node that sends the query. */
  peer: 'savoryknot-peer'
} as const)

const SEPARATOR = ';'
/** Number of components of a call field and of a load field. One further component has the time of a clock where it is known. */
const CALL_PARTS = 9
const LOAD_PARTS = 5
/** Maximum plausible transit time. A larger value means that one of the clocks was suspended. */
const MAXIMUM_TRANSIT_MS = 2_000
/** Abbreviations of idempotency values. */
const IDEMPOTENCY_CODE = Object.freeze({ idempotent: 'i', 'non-idempotent': 'n' })
const PREFIX = 'savoryknot-'
const NUMBER_PATTERN = /^\d{1,14}$/
const REASONS: ReadonlySet<string> = new Set<RefusalReason>([
  'overloaded', 'draining', 'no-endpoint', 'unreachable', 'deadline', 'cancelled', 'shed', 'quarantined'
])
/** Hop-by-hop and framing fields, which are not forwarded. */
const FRAMING_FIELDS: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding', 'connection', 'keep-alive', 'trailer', 'upgrade', 'te'])
const STATUS_BY_KIND = Object.freeze({ refused: 503, unknown: 502 })

/**
 * Returns the header fields of a call for the node of its endpoint. The call field contains request ID, route, service, endpoint, calling
 * service, idempotency, rank, the milliseconds that remain until the objective and until the deadline, and the current time of the
 * other node's clock if it is known.
 */
export function encodeCall (call: IMeshCall, now: Timestamp, peerClock?: PeerClock): readonly string[] {
  const names = [call.requestId, call.route, call.service, call.endpoint, call.callerService].map(encodeURIComponent)
  const peerTime = peerClock?.timeAt(now)
  const times = [durationText(call.objectiveAt, now), durationText(call.deadlineAt, now)]
  if (peerTime !== undefined) times.push(String(peerTime))
  return [...call.fields, NODE_HEADER.call, [...names, IDEMPOTENCY_CODE[call.repeat], call.rank, ...times].join(SEPARATOR)]
}

/** Components of a received HTTP request from which a call is decoded. */
export interface ICallParts {
  readonly method: string
  readonly path: string
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer | undefined
  readonly callerRequestId: string | undefined
  /** Header fields to forward to the endpoint, without the header fields that only mesh nodes exchange. */
  readonly fields: readonly string[]
}

/** Undefined if the fields of a call are missing or malformed. The known transit time is subtracted from the remaining times. */
export function decodeCall (parts: ICallParts, now: Timestamp): IMeshCall | undefined {
  const { headers, method, path, body, callerRequestId, fields } = parts
  const texts = decodedParts(headers, NODE_HEADER.call)
  if (texts === undefined || texts.length < CALL_PARTS || texts.length > CALL_PARTS + 1) return undefined
  const [requestId, route, service, endpoint, callerService, repeat, ...numbers] = texts as [string, string, string, string, string, string]
  const [rank, objective, deadline, sentAt] = numbers.map(parseNumber)
  if (requestId === '' || rank === undefined || objective === undefined || deadline === undefined) return undefined
  if (texts.length > CALL_PARTS && sentAt === undefined) return undefined
  const sentNoLaterThan = now - transitTimeOf(sentAt, now)
  return {
    requestId: requestId as RequestId,
    callerRequestId,
    route: route as RouteName,
    service: service as ServiceName,
    endpoint: endpoint as EndpointId,
    callerService,
    repeat: repeat === IDEMPOTENCY_CODE.idempotent ? 'idempotent' : 'non-idempotent',
    rank,
    objectiveAt: sentNoLaterThan + objective as Timestamp,
    deadlineAt: sentNoLaterThan + deadline as Timestamp,
    method,
    path,
    fields,
    body
  }
}

/** One HTTP response between nodes. */
export interface INodeResponse {
  readonly status: number
  readonly fields: readonly string[]
  readonly body: Buffer
}

const NO_BODY = Buffer.alloc(0)

/** Encodes the outcome of an attempt as a response to the node that sent the call. */
export function encodeOutcome (outcome: AttemptOutcome): INodeResponse {
  const load = outcome.load === undefined ? [] : [NODE_HEADER.load, encodeLoad(outcome.load)]
  if (outcome.kind === 'answered') {
    const { status, fields, body } = outcome.answer
    return { status, fields: [NODE_HEADER.outcome, outcome.kind, ...load, ...fields], body }
  }
  const parts = [outcome.kind, encodeURIComponent(outcome.reason)]
  if (outcome.kind === 'refused' && outcome.retryAfter !== undefined) parts.push(String(Math.round(outcome.retryAfter)))
  if (outcome.kind === 'unknown' && outcome.crash !== undefined) parts.push('', ...encodeCrash(outcome.crash))
  return { status: STATUS_BY_KIND[outcome.kind], fields: [NODE_HEADER.outcome, parts.join(SEPARATOR), ...load], body: NO_BODY }
}

/** Undefined if the response was not written by a node. */
export function decodeOutcome (status: number, headers: IncomingHttpHeaders, body: Buffer): AttemptOutcome | undefined {
  const load = decodeLoad(singleHeader(headers, NODE_HEADER.load))
  const [kind, reason = '', retryAfter = '', ...crash] = decodedParts(headers, NODE_HEADER.outcome) ?? []
  switch (kind) {
    case 'answered': return { kind, answer: { status, fields: responseFields(headers), body }, load }
    case 'refused': {
      if (!REASONS.has(reason)) return undefined
      return { kind, reason: reason as RefusalReason, retryAfter: parseNumber(retryAfter) as Milliseconds | undefined, load }
    }
    case 'unknown': return { kind, reason, load, ...crash.length === 0 ? {} : { crash: decodeCrash(crash) } }
    default: return undefined
  }
}

/** Fields of a response that are forwarded: without hop-by-hop fields and fields between nodes. */
export function responseFields (headers: IncomingHttpHeaders): ICompleteResponse['fields'] {
  return fieldsOf(headers, (name) => !FRAMING_FIELDS.has(name) && !name.startsWith(PREFIX))
}

export function encodeLoad (load: IEndpointLoad): string {
  const clockTime = load.reportedAt === undefined ? [] : [load.reportedAt]
  return [load.occupied, load.slots, load.serviceTime, load.failurePercent, load.handled, ...clockTime].map(Math.round).join('/')
}

/** Components of a load in the order of the field. */
type LoadNumbers = [number, number, Milliseconds, number, Milliseconds, Timestamp?]

export function decodeLoad (text: string | undefined): IEndpointLoad | undefined {
  const numbers = text?.split('/').map(Number)
  if (numbers === undefined || numbers.some((number) => !Number.isFinite(number) || number < 0)) return undefined
  if (numbers.length !== LOAD_PARTS && numbers.length !== LOAD_PARTS + 1) return undefined
  const [occupied, slots, serviceTime, failurePercent, handled, reportedAt] = numbers as LoadNumbers
  return { occupied, slots, serviceTime, failurePercent, handled, ...reportedAt === undefined ? {} : { reportedAt } }
}

/** Minimum transit time of a call. `sentAt`: latest possible time of sending; undefined if not known. */
function transitTimeOf (sentAt: number | undefined, now: Timestamp): number {
  const transitTime = sentAt === undefined ? 0 : now - sentAt
  return transitTime > 0 && transitTime <= MAXIMUM_TRANSIT_MS ? transitTime : 0
}

function durationText (until: Timestamp, now: Timestamp): string {
  return String(Math.max(0, Math.round(until - now)))
}

/** Undefined if the field is missing or contains an invalid percent escape, which another node never sends. */
function decodedParts (headers: IncomingHttpHeaders, name: string): readonly string[] | undefined {
  const text = singleHeader(headers, name)
  try {
    return text?.split(SEPARATOR).map(decodeURIComponent)
  } catch {
    return undefined
  }
}

function parseNumber (text: string): number | undefined {
  return NUMBER_PATTERN.test(text) ? Number(text) : undefined
}
