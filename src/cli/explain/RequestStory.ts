/** Puts together what the nodes logged of one request. */
import type { ILogContent, ILogLine } from './LogReader.js'

/** One step on the way of a request. */
export interface IStoryStep {
  /** Milliseconds after the request came in; below 0 if a clock differs. */
  readonly afterMs: number
  readonly node: string
  readonly text: string
}

/** The way of a request in order. */
export interface IRequestStory {
  readonly request: string
  /** When it came in, milliseconds since 1970; undefined if no node logged its end. */
  readonly arrivedAt: number | undefined
  readonly steps: readonly IStoryStep[]
  /** Why it ended as it did, in one sentence. */
  readonly ending: string
  /** What the logs lack, one sentence each. */
  readonly gaps: readonly string[]
}

const FINISHED = 'call-finished'
const UNROUTED = 'call-unrouted'
const APPLIED = 'configuration-applied'
const LEFT_OUT = 'events-left-out'
/** A gap in the log matters if it lies this near to the request. */
const NEAR_MS = 10_000

/** Undefined if no line names the request. */
export function tellStory (request: string, content: ILogContent): IRequestStory | undefined {
  const own = content.lines.filter(({ fields }) => fields.request === request)
  const first = own[0]
  if (first === undefined) return undefined
  const finished = own.find(({ name }) => name === FINISHED)
  const arrivedAt = finished === undefined ? undefined : finished.at - number(finished, 'durationMs')
  const origin = arrivedAt ?? first.at
  const steps = [
    ...(finished === undefined || arrivedAt === undefined ? [] : arrivalSteps(finished)),
    ...own.filter(({ name }) => name !== FINISHED).map((line) => ({ afterMs: line.at - origin, node: line.node, text: describe(line) })),
    ...innerCalls(request, content.lines, origin),
    ...(finished === undefined ? [] : [{ afterMs: finished.at - origin, node: finished.node, text: describeEnd(finished) }])
  ]
  steps.sort((left, right) => left.afterMs - right.afterMs)
  const unrouted = own.find(({ name }) => name === UNROUTED)
  const ending = unrouted === undefined ? explainEnd(finished, own) : explainUnrouted(unrouted, content.lines)
  return { request, arrivedAt, steps, ending, gaps: gapsOf(content, own, finished !== undefined || unrouted !== undefined) }
}

function arrivalSteps (finished: ILogLine): IStoryStep[] {
  const { node } = finished
  const arrival = `came in on route ${text(finished, 'route')}; configuration ${text(finished, 'configuration')}, table of nodes at ${text(finished, 'viewPosition')}, ` +
    `confirmed ${text(finished, 'viewAgeMs')} ms before the end`
  const attempts = attemptsOf(finished).map((attempt) => ({ afterMs: Number(attempt.afterMs), node, text: describeAttempt(attempt) }))
  return [{ afterMs: 0, node, text: arrival }, ...attempts]
}

type Attempt = Readonly<Record<string, unknown>>

function attemptsOf (finished: ILogLine): readonly Attempt[] {
  return Array.isArray(finished.fields.attempts) ? finished.fields.attempts as readonly Attempt[] : []
}

function describeAttempt ({ node, endpoint, expectedMs, tookMs, handledMs, connectMs, outcome }: Attempt): string {
  const expected = `sent to endpoint ${String(endpoint)} beside ${String(node)}, answer expected after ${String(expectedMs)} ms`
  if (outcome === undefined) return `${expected}; no outcome when the request ended`
  const handled = handledMs === undefined ? '' : `, ${String(handledMs)} ms of it there`
  const connecting = connectMs === undefined ? '' : `, ${String(connectMs)} ms of it before there was a connection`
  return `${expected}; ${String(outcome)} after ${String(tookMs)} ms${handled}${connecting}`
}

/** Calls that the endpoint made while it ran the request bear its id, a dot and an id of their own. */
function innerCalls (request: string, lines: readonly ILogLine[], origin: number): IStoryStep[] {
  return lines
    .filter(({ name, fields }) => name === FINISHED && String(fields.request).startsWith(`${request}.`))
    .map((line) => ({
      afterMs: line.at - number(line, 'durationMs') - origin,
      node: line.node,
      text: `the endpoint called route ${text(line, 'route')} as ${text(line, 'request')}: ${describeEnd(line)}`
    }))
}

function describe (line: ILogLine): string {
  switch (line.name) {
    case 'call-repeated': return `another endpoint after ${text(line, 'endpoint')}: ${reasonOf(line)}, attempt ${number(line, 'tries')} was the last`
    case 'call-settled': return `asked ${text(line, 'peer')} what became of it: ${text(line, 'reply')}`
    case 'call-refused-at-gate': return `refused before endpoint ${text(line, 'endpoint')} (${text(line, 'phase')}): ${text(line, 'reason')}; ` +
      `${number(line, 'running')} of ${number(line, 'slots')} slots ran, ${number(line, 'waiting')} waited, rank ${number(line, 'rank')}`
    case 'call-not-repeated': return `no further endpoint after ${text(line, 'endpoint')}: ${text(line, 'reason')}`
    case 'answer-spoilt': return `answer of endpoint ${text(line, 'peer')} not taken: ${text(line, 'reason')}`
    case UNROUTED: return `no route for ${text(line, 'host')}${text(line, 'path')} in configuration ${text(line, 'configuration')}, ` +
      `which was the newest ${text(line, 'viewAgeMs')} ms before`
    default: return `${line.name} ${JSON.stringify(line.fields)}`
  }
}

function describeEnd (finished: ILogLine): string {
  const status = finished.fields.status === undefined ? '' : ` ${text(finished, 'status')}`
  const reason = finished.fields.reason === undefined ? '' : ` (${text(finished, 'reason')})`
  const back = finished.fields.retryAfter === undefined ? '' : `, told to come back after ${text(finished, 'retryAfter')} ms`
  return `${text(finished, 'outcome')}${status}${reason} after ${number(finished, 'durationMs')} ms${back}`
}

function reasonOf (line: ILogLine): string {
  return line.fields.reason === undefined ? text(line, 'outcome') : `${text(line, 'outcome')} (${text(line, 'reason')})`
}

/** In the order of what an engineer asks first. */
function explainEnd (finished: ILogLine | undefined, own: readonly ILogLine[]): string {
  if (finished === undefined) return 'No node logged the end: its log is missing here, or the process ended while the request ran.'
  const spoilt = own.findLast(({ name }) => name === 'answer-spoilt')
  const refusedAtGate = own.filter(({ name }) => name === 'call-refused-at-gate')
  switch (text(finished, 'outcome')) {
    case 'answered': return explainAnswer(finished)
    case 'cancelled': return `The caller left after ${number(finished, 'durationMs')} ms, before there was an answer.`
    case 'refused': return refusedAtGate.length > 0
      ? `Not run: ${refusedAtGate.length} endpoint(s) refused it, the last one because of ${text(refusedAtGate.at(-1), 'reason')}.`
      : `Not run: ${text(finished, 'reason')}, without an endpoint having been asked.`
    default: return spoilt === undefined
      ? `It may have run: ${text(finished, 'reason')}.`
      : `It may have run, but the endpoint's answer was not whole or not its own: ${text(spoilt, 'reason')}.`
  }
}

/** Names the newest version that another node held before, if there was one. */
function explainUnrouted (unrouted: ILogLine, lines: readonly ILogLine[]): string {
  const held = number(unrouted, 'configuration')
  const newer = lines.filter((line) => line.name === APPLIED && line.at <= unrouted.at && number(line, 'version') > held)
  const known = `No route fits in configuration ${held}, which was the newest ${number(unrouted, 'viewAgeMs')} ms before: 404.`
  const [first] = newer.sort((left, right) => left.at - right.at)
  if (first === undefined) return known
  return `${known} ${first.node} held version ${number(first, 'version')} ${unrouted.at - first.at} ms before.`
}

function explainAnswer (finished: ILogLine): string {
  const status = number(finished, 'status')
  const where = `endpoint ${text(finished, 'endpoint')}`
  return status >= 500 ? `${where} itself answered ${status}.` : `Answered with ${status} by ${where}, at attempt ${number(finished, 'tries')}.`
}

/** Lines that nodes left out near the time of the request, added up by node and kind. */
function leftOutNear (lines: readonly ILogLine[], own: readonly ILogLine[]): string[] {
  const from = (own[0]?.at ?? 0) - NEAR_MS
  const until = (own.at(-1)?.at ?? 0) + NEAR_MS
  const counts = new Map<string, { readonly node: string, readonly kind: string, count: number }>()
  for (const line of lines) {
    if (line.name !== LEFT_OUT || line.at < from || line.at > until) continue
    const kind = text(line, 'kind')
    const entry = counts.get(`${line.node} ${kind}`) ?? { node: line.node, kind, count: 0 }
    entry.count += number(line, 'count')
    counts.set(`${line.node} ${kind}`, entry)
  }
  return [...counts.values()].map(({ node, kind, count }) => `${node} left out ${count} lines of ${kind} near that time, since its log was at its bound.`)
}

function gapsOf ({ lines, unreadable }: ILogContent, own: readonly ILogLine[], isFinished: boolean): string[] {
  const gaps = leftOutNear(lines, own)
  const nodes = new Set(lines.map(({ node }) => node))
  const last = own.findLast(({ name }) => name === FINISHED)
  for (const attempt of last === undefined ? [] : attemptsOf(last)) {
    if (!nodes.has(String(attempt.node))) gaps.push(`There is no log of ${String(attempt.node)}, which was asked to run the request.`)
  }
  if (!isFinished) gaps.push('The line call-finished of the node that took the request is missing.')
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
