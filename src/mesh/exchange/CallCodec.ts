/** Calls and outcomes as header fields between nodes. */
import type { IncomingHttpHeaders } from 'node:http'
import type { EndpointId, Milliseconds, RequestId, RouteName, ServiceName, Timestamp } from '../../common/Types.js'
import { fieldsOf } from '../../gate/HeaderRules.js'
import { singleHeader } from '../../routing/AnswerHeaders.js'
import type { AttemptOutcome, IEndpointLoad, IMeshCall, IWholeAnswer, RefusalReason } from '../Types.js'

/** Fields between nodes. Durations in milliseconds. */
export const INNER_HEADER = Object.freeze({
  requestId: 'savoryknot-request-id',
  route: 'savoryknot-route',
  service: 'savoryknot-service',
  endpoint: 'savoryknot-endpoint',
  callerService: 'savoryknot-caller',
  repeat: 'savoryknot-repeat',
  rank: 'savoryknot-rank',
  /** Until the answer stops to be worth most; 0 if it has. */
  objective: 'savoryknot-objective-ms',
  deadline: 'savoryknot-deadline-ms',
  /** `answered`, `refused` or `unknown`. */
  outcome: 'savoryknot-outcome',
  reason: 'savoryknot-reason',
  retryAfter: 'savoryknot-retry-after-ms',
  /** Occupied, slots, service time, failure percent and time at the node, separated by slashes. */
  load: 'savoryknot-load',
  /** `probe` or `settle`, on requests that are no calls. */
  purpose: 'savoryknot-purpose',
  /** Identity of the process that answers, or that was sent the request in question. */
  processToken: 'savoryknot-process',
  /** RPC address of the node that asks. */
  peer: 'savoryknot-peer'
} as const)

const PREFIX = 'savoryknot-'
const NUMBER_PATTERN = /^\d{1,12}$/
const REASONS: ReadonlySet<string> = new Set<RefusalReason>([
  'overloaded', 'draining', 'no-endpoint', 'unreachable', 'deadline', 'cancelled', 'shed'
])
/** Fields that concern one message only. */
const FRAMING_FIELDS: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding', 'connection', 'keep-alive', 'trailer', 'upgrade', 'te'])
const STATUS_BY_KIND = Object.freeze({ refused: 503, unknown: 502 })

/** Fields of a call for the node beside its endpoint. */
export function encodeCall (call: IMeshCall, now: Timestamp): readonly string[] {
  return [
    ...call.fields,
    INNER_HEADER.requestId, call.requestId,
    INNER_HEADER.route, encodeURIComponent(call.route),
    INNER_HEADER.service, encodeURIComponent(call.service),
    INNER_HEADER.endpoint, encodeURIComponent(call.endpoint),
    INNER_HEADER.callerService, encodeURIComponent(call.callerService),
    INNER_HEADER.repeat, call.repeat,
    INNER_HEADER.rank, String(call.rank),
    INNER_HEADER.objective, durationText(call.objectiveAt, now),
    INNER_HEADER.deadline, durationText(call.deadlineAt, now)
  ]
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

/** Undefined if the fields of a call are missing or malformed. */
export function decodeCall (parts: ICallParts, now: Timestamp): IMeshCall | undefined {
  const { headers, method, path, body, callerRequestId, fields } = parts
  const requestId = singleHeader(headers, INNER_HEADER.requestId)
  const service = decodedText(headers, INNER_HEADER.service)
  const endpoint = decodedText(headers, INNER_HEADER.endpoint)
  const deadline = numberOf(headers, INNER_HEADER.deadline)
  const objective = numberOf(headers, INNER_HEADER.objective)
  const rank = numberOf(headers, INNER_HEADER.rank)
  if (requestId === undefined || service === undefined || endpoint === undefined) return undefined
  if (deadline === undefined || objective === undefined || rank === undefined) return undefined
  return {
    requestId: requestId as RequestId,
    callerRequestId,
    route: (decodedText(headers, INNER_HEADER.route) ?? '') as RouteName,
    service: service as ServiceName,
    endpoint: endpoint as EndpointId,
    callerService: decodedText(headers, INNER_HEADER.callerService) ?? '',
    repeat: headers[INNER_HEADER.repeat] === 'idempotent' ? 'idempotent' : 'non-idempotent',
    rank,
    objectiveAt: now + objective as Timestamp,
    deadlineAt: now + deadline as Timestamp,
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
  const fields: string[] = [INNER_HEADER.outcome, outcome.kind, ...load, INNER_HEADER.reason, encodeURIComponent(outcome.reason)]
  if (outcome.kind === 'refused' && outcome.retryAfter !== undefined) fields.push(INNER_HEADER.retryAfter, String(Math.round(outcome.retryAfter)))
  return { status: STATUS_BY_KIND[outcome.kind], fields, body: NO_BODY }
}

/** Undefined if the answer is not one of a node. */
export function decodeOutcome (status: number, headers: IncomingHttpHeaders, body: Buffer): AttemptOutcome | undefined {
  const load = decodeLoad(singleHeader(headers, INNER_HEADER.load))
  const reason = decodedText(headers, INNER_HEADER.reason) ?? ''
  switch (headers[INNER_HEADER.outcome]) {
    case 'answered': return { kind: 'answered', answer: { status, fields: answerFields(headers), body }, load }
    case 'refused': {
      if (!REASONS.has(reason)) return undefined
      return { kind: 'refused', reason: reason as RefusalReason, retryAfter: numberOf(headers, INNER_HEADER.retryAfter) as Milliseconds | undefined, load }
    }
    case 'unknown': return { kind: 'unknown', reason, load }
    default: return undefined
  }
}

/** Fields of an answer that go on: neither those of one connection nor those between nodes. */
export function answerFields (headers: IncomingHttpHeaders): IWholeAnswer['fields'] {
  return fieldsOf(headers, (name) => !FRAMING_FIELDS.has(name) && !name.startsWith(PREFIX))
}

export function encodeLoad (load: IEndpointLoad): string {
  return [load.occupied, load.slots, load.serviceTime, load.failurePercent, load.handled].map(Math.round).join('/')
}

export function decodeLoad (text: string | undefined): IEndpointLoad | undefined {
  const numbers = text?.split('/').map(Number)
  if (numbers === undefined || numbers.length !== 5 || numbers.some((number) => !Number.isFinite(number) || number < 0)) return undefined
  const [occupied, slots, serviceTime, failurePercent, handled] = numbers as [number, number, Milliseconds, number, Milliseconds]
  return { occupied, slots, serviceTime, failurePercent, handled }
}

function durationText (until: Timestamp, now: Timestamp): string {
  return String(Math.max(0, Math.round(until - now)))
}

function decodedText (headers: IncomingHttpHeaders, name: string): string | undefined {
  const text = singleHeader(headers, name)
  if (text === undefined) return undefined
  try {
    return decodeURIComponent(text)
  } catch {
    // Another node never sends a broken escape; the call is then refused as malformed.
    return undefined
  }
}

function numberOf (headers: IncomingHttpHeaders, name: string): number | undefined {
  const text = singleHeader(headers, name)
  return text !== undefined && NUMBER_PATTERN.test(text) ? Number(text) : undefined
}
