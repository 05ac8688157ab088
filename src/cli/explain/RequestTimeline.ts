/** Reconstructs the timeline of one request from the logs of the nodes. */
import type { ILogContent, ILogLine } from './LogReader.js'

/** One step in the processing of a request. */
export interface ITimelineStep {
  /** Milliseconds after the request arrived; negative if the clocks of nodes differ. */
  readonly afterMs: number
  readonly node: string
  readonly text: string
}

/** The steps of a request in order of time. */
export interface IRequestTimeline {
  readonly request: string
  /** Arrival of the request in milliseconds since 1970; undefined if no node logged its end. */
  readonly arrivedAt: number | undefined
  readonly steps: readonly ITimelineStep[]
  /** Explanation of the outcome in one sentence. */
  readonly ending: string
  /** Information that the logs lack, one sentence each. */
  readonly gaps: readonly string[]
}

const FINISHED = 'call-finished'
const UNROUTED = 'call-unrouted'
const APPLIED = 'configuration-applied'
const OMITTED = 'events-left-out'
/** Omitted log lines are reported if they are at most this far from the request. */
const GAP_WINDOW_MS = 10_000

/** Undefined if no line contains the id of the request. */
export function buildTimeline (request: string, content: ILogContent): IRequestTimeline | undefined {
  const own = content.lines.filter(({ fields }) => fields.request === request)
  const first = own[0]
  if (first === undefined) return undefined
  const finished = own.find(({ name }) => name === FINISHED)
  const arrivedAt = finished === undefined ? undefined : finished.at - number(finished, 'durationMs')
  const origin = arrivedAt ?? first.at
  const steps = [
    ...(finished === undefined || arrivedAt === undefined ? [] : arrivalSteps(finished)),
    ...own.filter(({ name }) => name !== FINISHED).map((line) => ({ afterMs: line.at - origin, node: line.node, text: describe(line) })),
    ...nestedCalls(request, content.lines, origin),
    ...(finished === undefined ? [] : [{ afterMs: finished.at - origin, node: finished.node, text: describeOutcome(finished) }])
  ]
  steps.sort((left, right) => left.afterMs - right.afterMs)
  const unrouted = own.find(({ name }) => name === UNROUTED)
  const ending = unrouted === undefined ? explainOutcome(finished, own) : explainUnrouted(unrouted, content.lines)
  return { request, arrivedAt, steps, ending, gaps: findGaps(content, own, finished !== undefined || unrouted !== undefined) }
}

function arrivalSteps (finished: ILogLine): ITimelineStep[] {
  const { node } = finished
  const arrival = `arrived on route ${text(finished, 'route')}${describeCaller(finished)}; configuration ${text(finished, 'configuration')}, node table at position ${text(finished, 'viewPosition')}, ` +
    `confirmed ${text(finished, 'viewAgeMs')} ms before the end`
  const attempts = attemptsOf(finished).map((attempt) => ({ afterMs: Number(attempt.afterMs), node, text: describeAttempt(attempt) }))
  return [{ afterMs: 0, node, text: arrival }, ...attempts]
}

/** The service that endpoints were told as the caller; empty in logs of earlier programs. */
function describeCaller ({ fields }: ILogLine): string {
  return fields.callerService === undefined ? '' : ` from service ${String(fields.callerService)} (known from ${String(fields.callerServiceFrom)})`
}

type Attempt = Readonly<Record<string, unknown>>

function attemptsOf (finished: ILogLine): readonly Attempt[] {
  return Array.isArray(finished.fields.attempts) ? finished.fields.attempts as readonly Attempt[] : []
}

function describeAttempt ({ node, endpoint, expectedMs, tookMs, handledMs, connectMs, outcome }: Attempt): string {
  const expected = `sent to endpoint ${String(endpoint)} through node ${String(node)}, response expected after ${String(expectedMs)} ms`
  if (outcome === undefined) return `${expected}; no outcome when the request ended`
  const handled = handledMs === undefined ? '' : `, of which ${String(handledMs)} ms on that node`
  const connecting = connectMs === undefined ? '' : `, of which ${String(connectMs)} ms to connect`
  return `${expected}; ${String(outcome)} after ${String(tookMs)} ms${handled}${connecting}`
}

/** Calls that the endpoint made while it processed the request have ids that consist of the id of the request, a dot and a further id. */
function nestedCalls (request: string, lines: readonly ILogLine[], origin: number): ITimelineStep[] {
  return lines
    .filter(({ name, fields }) => name === FINISHED && String(fields.request).startsWith(`${request}.`))
    .map((line) => ({
      afterMs: line.at - number(line, 'durationMs') - origin,
      node: line.node,
      text: `the endpoint called route ${text(line, 'route')} as ${text(line, 'request')}: ${describeOutcome(line)}`
    }))
}

function describe (line: ILogLine): string {
  switch (line.name) {
    case 'call-repeated': return `retried on another endpoint after ${text(line, 'endpoint')}: ${reasonOf(line)} at attempt ${number(line, 'tries')}`
    case 'call-settled': return `queried ${text(line, 'peer')} for the outcome: ${text(line, 'reply')}`
    case 'call-refused-at-gate': return `refused at the gate of endpoint ${text(line, 'endpoint')} (${text(line, 'phase')}): ${text(line, 'reason')}; ` +
      `${number(line, 'running')} of ${number(line, 'slots')} slots in use, ${number(line, 'waiting')} queued, rank ${number(line, 'rank')}`
    case 'call-not-repeated': return `not retried after endpoint ${text(line, 'endpoint')}: ${text(line, 'reason')}`
    case 'answer-spoilt': return `response of endpoint ${text(line, 'peer')} rejected: ${text(line, 'reason')}`
    case UNROUTED: return `no route for ${text(line, 'host')}${text(line, 'path')} in configuration ${text(line, 'configuration')}, ` +
      `which was confirmed as the newest ${text(line, 'viewAgeMs')} ms before`
    default: return `${line.name} ${JSON.stringify(line.fields)}`
  }
}

function describeOutcome (finished: ILogLine): string {
  const status = finished.fields.status === undefined ? '' : ` ${text(finished, 'status')}`
  const reason = finished.fields.reason === undefined ? '' : ` (${text(finished, 'reason')})`
  const back = finished.fields.retryAfter === undefined ? '' : `, retry advised after ${text(finished, 'retryAfter')} ms`
  return `${text(finished, 'outcome')}${status}${reason} after ${number(finished, 'durationMs')} ms${back}`
}

function reasonOf (line: ILogLine): string {
  return line.fields.reason === undefined ? text(line, 'outcome') : `${text(line, 'outcome')} (${text(line, 'reason')})`
}

/** Explains the outcome in one sentence; a logged refusal or rejected response takes precedence over the reason of the caller's node. */
function explainOutcome (finished: ILogLine | undefined, own: readonly ILogLine[]): string {
  if (finished === undefined) return 'No node logged the end: its log is missing here, or the process ended while the request ran.'
  const rejectedResponse = own.findLast(({ name }) => name === 'answer-spoilt')
  const refusedAtGate = own.filter(({ name }) => name === 'call-refused-at-gate')
  switch (text(finished, 'outcome')) {
    case 'answered': return explainResponse(finished)
    case 'cancelled': return `The caller disconnected after ${number(finished, 'durationMs')} ms, before there was a response.`
    case 'refused': return refusedAtGate.length > 0
      ? `Not run: ${refusedAtGate.length} endpoint(s) refused it, the last one because of ${text(refusedAtGate.at(-1), 'reason')}.`
      : `Not run: ${text(finished, 'reason')}, before it was sent to any endpoint.`
    default: return rejectedResponse === undefined
      ? `It may have run: ${text(finished, 'reason')}.`
      : `It may have run, but the endpoint's response was incomplete or belonged to another request: ${text(rejectedResponse, 'reason')}.`
  }
}

/** Adds which node first had a newer version before the request, if there was one. */
function explainUnrouted (unrouted: ILogLine, lines: readonly ILogLine[]): string {
  const ownVersion = number(unrouted, 'configuration')
  const newer = lines.filter((line) => line.name === APPLIED && line.at <= unrouted.at && number(line, 'version') > ownVersion)
  const known = `No route matches in configuration ${ownVersion}, which was confirmed as the newest ${number(unrouted, 'viewAgeMs')} ms before: 404.`
  const [first] = newer.sort((left, right) => left.at - right.at)
  if (first === undefined) return known
  return `${known} ${first.node} had version ${number(first, 'version')} ${unrouted.at - first.at} ms before.`
}

function explainResponse (finished: ILogLine): string {
  const status = number(finished, 'status')
  const where = `endpoint ${text(finished, 'endpoint')}`
  return status >= 500 ? `${where} itself answered ${status}.` : `Answered with ${status} by ${where}, at attempt ${number(finished, 'tries')}.`
}

/** Counts of log lines that nodes omitted around the time of the request, by node and kind. */
function describeOmittedLines (lines: readonly ILogLine[], own: readonly ILogLine[]): string[] {
  const from = (own[0]?.at ?? 0) - GAP_WINDOW_MS
  const until = (own.at(-1)?.at ?? 0) + GAP_WINDOW_MS
  const counts = new Map<string, { readonly node: string, readonly kind: string, count: number }>()
  for (const line of lines) {
    if (line.name !== OMITTED || line.at < from || line.at > until) continue
    const kind = text(line, 'kind')
    const entry = counts.get(`${line.node} ${kind}`) ?? { node: line.node, kind, count: 0 }
    entry.count += number(line, 'count')
    counts.set(`${line.node} ${kind}`, entry)
  }
  return [...counts.values()].map(({ node, kind, count }) => `${node} omitted ${count} lines of ${kind} around that time, because its log had reached its rate limit.`)
}

function findGaps ({ lines, unreadable }: ILogContent, own: readonly ILogLine[], isFinished: boolean): string[] {
  const gaps = describeOmittedLines(lines, own)
  const nodes = new Set(lines.map(({ node }) => node))
  const last = own.findLast(({ name }) => name === FINISHED)
  for (const attempt of last === undefined ? [] : attemptsOf(last)) {
    if (!nodes.has(String(attempt.node))) gaps.push(`There is no log of ${String(attempt.node)}, to which the request was sent.`)
  }
  if (!isFinished) gaps.push('The line call-finished of the node that received the request is missing.')
  if (unreadable > 0) gaps.push(`${unreadable} lines could not be read as events.`)
  return gaps
}

function text (line: ILogLine | undefined, field: string): string {
  return String(line?.fields[field] ?? 'unknown')
}

function number (line: ILogLine, field: string): number {
  const value = line.fields[field]
  return typeof value === 'number' ? value : 0
}
