/** Calls and outcomes as header fields between nodes. */
import type { IncomingHttpHeaders } from 'node:http'
import type { EndpointId, Milliseconds, RequestId, RouteName, ServiceName, Timestamp } from '../../common/Types.js'
import { fieldsOf } from '../../gate/HeaderRules.js'
import { singleHeader } from '../../routing/AnswerHeaders.js'
import type { AttemptOutcome, IEndpointLoad, IMeshCall, IWholeAnswer, RefusalReason } from '../Types.js'
import type { PeerClock } from './PeerClock.js'

/** Fields between nodes. A call and an outcome take one field each: between regions every byte is paid for. */
export const INNER_HEADER = Object.freeze({
  /** The parts of a call, see `encodeCall`. */
  call: 'savoryknot-call',
  /** Kind, reason and time to return, in milliseconds; the kind is `answered`, `refused` or `unknown`. */
  outcome: 'savoryknot-outcome',
  /** Occupied, slots, service time, failure percent, time at the node, and what its clock shows, separated by slashes. */
  load: 'savoryknot-load',
  /** `probe` or `settle`, on requests that are no calls. */
  purpose: 'savoryknot-purpose',
  /** The request that a question is about. */
  requestId: 'savoryknot-request-id',
  /** Identity of the process that answers, or that was sent the request in question. */
  processToken: 'savoryknot-process',
  /** RPC address of the node that asks. */
  peer: 'savoryknot-peer'
} as const)

const SEPARATOR = ';'
/** Parts of the field of a call, and of a load; one more tells a clock where it is known. */
const CALL_PARTS = 9
const LOAD_PARTS = 5
/** A call that seems to have been under way for longer tells of a clock that has stood still. */
const LONGEST_WAY_MS = 2_000
/** Short names of the kinds of requests. */
const REPEAT_CODE = Object.freeze({ idempotent: 'i', 'non-idempotent': 'n' })
const PREFIX = 'savoryknot-'
const NUMBER_PATTERN = /^\d{1,14}$/
const REASONS: ReadonlySet<string> = new Set<RefusalReason>([
  'overloaded', 'draining', 'no-endpoint', 'unreachable', 'deadline', 'cancelled', 'shed'
])
/** Fields that concern one message only. */
const FRAMING_FIELDS: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding', 'connection', 'keep-alive', 'trailer', 'upgrade', 'te'])
const STATUS_BY_KIND = Object.freeze({ refused: 503, unknown: 502 })

/**
 * Fields of a call for the node beside its endpoint. The call's own field holds id, route, service, endpoint, calling
 * service, kind, rank, the milliseconds that remain until the objective and until the deadline, and the present time by the
 * other node's clock if that is known.
 */
export function encodeCall (call: IMeshCall, now: Timestamp, peerClock?: PeerClock): readonly string[] {
  const names = [call.requestId, call.route, call.service, call.endpoint, call.callerService].map(encodeURIComponent)
  const peerTime = peerClock?.timeAt(now)
  const times = [durationText(call.objectiveAt, now), durationText(call.deadlineAt, now)]
  if (peerTime !== undefined) times.push(String(peerTime))
  return [...call.fields, INNER_HEADER.call, [...names, REPEAT_CODE[call.repeat], call.rank, ...times].join(SEPARATOR)]
}

/** What a call is made of beside its fields. */
export interface ICallParts {
  readonly method: string
  readonly path: string
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer | undefined
  readonly callerRequestId: string | undefined
  /** Fields to send on; those between nodes are left out. */
  readonly fields: readonly string[]
}

/** Undefined if the fields of a call are missing or malformed. The time that it is known to have been under way counts as passed. */
export function decodeCall (parts: ICallParts, now: Timestamp): IMeshCall | undefined {
  const { headers, method, path, body, callerRequestId, fields } = parts
  const texts = decodedParts(headers, INNER_HEADER.call)
  if (texts === undefined || texts.length < CALL_PARTS || texts.length > CALL_PARTS + 1) return undefined
  const [requestId, route, service, endpoint, callerService, repeat, ...numbers] = texts as [string, string, string, string, string, string]
  const [rank, objective, deadline, sentAt] = numbers.map(parseNumber)
  if (requestId === '' || rank === undefined || objective === undefined || deadline === undefined) return undefined
  if (texts.length > CALL_PARTS && sentAt === undefined) return undefined
  const countedFrom = now - wayOf(sentAt, now)
  return {
    requestId: requestId as RequestId,
    callerRequestId,
    route: route as RouteName,
    service: service as ServiceName,
    endpoint: endpoint as EndpointId,
    callerService,
    repeat: repeat === REPEAT_CODE.idempotent ? 'idempotent' : 'non-idempotent',
    rank,
    objectiveAt: countedFrom + objective as Timestamp,
    deadlineAt: countedFrom + deadline as Timestamp,
    method,
    path,
    fields,
    body
  }
}

/** One answer between nodes. */
export interface IInnerAnswer {
  readonly status: number
  readonly fields: readonly string[]
  readonly body: Buffer
}

const NO_BODY = Buffer.alloc(0)

/** Outcome of an attempt as an answer to the node that asked. */
export function encodeOutcome (outcome: AttemptOutcome): IInnerAnswer {
  const load = outcome.load === undefined ? [] : [INNER_HEADER.load, encodeLoad(outcome.load)]
  if (outcome.kind === 'answered') {
    const { status, fields, body } = outcome.answer
    return { status, fields: [INNER_HEADER.outcome, outcome.kind, ...load, ...fields], body }
  }
  const parts = [outcome.kind, encodeURIComponent(outcome.reason)]
  if (outcome.kind === 'refused' && outcome.retryAfter !== undefined) parts.push(String(Math.round(outcome.retryAfter)))
  return { status: STATUS_BY_KIND[outcome.kind], fields: [INNER_HEADER.outcome, parts.join(SEPARATOR), ...load], body: NO_BODY }
}

/** Undefined if the answer is not one of a node. */
export function decodeOutcome (status: number, headers: IncomingHttpHeaders, body: Buffer): AttemptOutcome | undefined {
  const load = decodeLoad(singleHeader(headers, INNER_HEADER.load))
  const [kind, reason = '', retryAfter = ''] = decodedParts(headers, INNER_HEADER.outcome) ?? []
  switch (kind) {
    case 'answered': return { kind, answer: { status, fields: answerFields(headers), body }, load }
    case 'refused': {
      if (!REASONS.has(reason)) return undefined
      return { kind, reason: reason as RefusalReason, retryAfter: parseNumber(retryAfter) as Milliseconds | undefined, load }
    }
    case 'unknown': return { kind, reason, load }
    default: return undefined
  }
}

/** Fields of an answer that go on: neither those of one connection nor those between nodes. */
export function answerFields (headers: IncomingHttpHeaders): IWholeAnswer['fields'] {
  return fieldsOf(headers, (name) => !FRAMING_FIELDS.has(name) && !name.startsWith(PREFIX))
}

export function encodeLoad (load: IEndpointLoad): string {
  const told = load.toldAt === undefined ? [] : [load.toldAt]
  return [load.occupied, load.slots, load.serviceTime, load.failurePercent, load.handled, ...told].map(Math.round).join('/')
}

/** Parts of a load in their order. */
type LoadNumbers = [number, number, Milliseconds, number, Milliseconds, Timestamp?]

export function decodeLoad (text: string | undefined): IEndpointLoad | undefined {
  const numbers = text?.split('/').map(Number)
  if (numbers === undefined || numbers.some((number) => !Number.isFinite(number) || number < 0)) return undefined
  if (numbers.length !== LOAD_PARTS && numbers.length !== LOAD_PARTS + 1) return undefined
  const [occupied, slots, serviceTime, failurePercent, handled, toldAt] = numbers as LoadNumbers
  return { occupied, slots, serviceTime, failurePercent, handled, ...toldAt === undefined ? {} : { toldAt } }
}

/** Time that a call has been under way at least. `sentAt`: when it was sent, or later; undefined if that is not known. */
function wayOf (sentAt: number | undefined, now: Timestamp): number {
  const way = sentAt === undefined ? 0 : now - sentAt
  return way > 0 && way <= LONGEST_WAY_MS ? way : 0
}

function durationText (until: Timestamp, now: Timestamp): string {
  return String(Math.max(0, Math.round(until - now)))
}

/** Undefined if the field is missing or has a broken escape, which another node never sends. */
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
