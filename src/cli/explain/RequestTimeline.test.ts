/** The timeline of one request, reconstructed from the logs of several nodes. */
import { expect } from 'chai'
import { readLogs } from './LogReader.js'
import { buildTimeline } from './RequestTimeline.js'

const START = Date.parse('2026-12-04T10:00:00.000Z')

function line (node: string, afterMs: number, message: string, fields: object): string {
  return JSON.stringify({ event: 1, level: 'info', message, node, timestamp: new Date(START + afterMs).toISOString(), ...fields })
}

function finished (request: string, afterMs: number, fields: object): string {
  const common = { request, route: 'r', configuration: 12, viewPosition: 40, viewAgeMs: 90, durationMs: 300, tries: 1, endpoint: 'i-1' }
  return line('n1', afterMs, 'call-finished', { ...common, ...fields })
}

const REFUSED = [
  finished('refused', 300, {
    callerService: 'status',
    callerServiceFrom: 'settings',
    outcome: 'refused',
    reason: 'overloaded',
    retryAfter: 250,
    tries: 2,
    attempts: [
      { node: 'n2', endpoint: 'i-1', afterMs: 1, expectedMs: 80, tookMs: 4, handledMs: 1, outcome: 'refused: overloaded' },
      { node: 'n3', endpoint: 'i-2', afterMs: 6, expectedMs: 90 }
    ]
  }),
  line('n2', 3, 'call-refused-at-gate', { request: 'refused', endpoint: 'i-1', phase: 'serving', reason: 'overloaded', running: 6, slots: 6, waiting: 9, rank: 2 }),
  line('n1', 5, 'call-repeated', { request: 'refused', endpoint: 'i-1', outcome: 'refused', reason: 'overloaded', tries: 1 }),
  line('n2', 900, 'events-left-out', { kind: 'call-finished', count: 17 })
]

const UNKNOWN = [
  '  12.5 machine-1 ' + finished('unknown', 300, { outcome: 'unknown', reason: 'answer of another request', attempts: [] }),
  line('n2', 200, 'answer-spoilt', { request: 'unknown', peer: 'i-1', reason: 'answer of another request' }),
  finished('unknown.a', 250, { outcome: 'answered', status: 200, durationMs: 40 }),
  'no event'
]

const UNROUTED = [
  line('n1', 500, 'call-unrouted', { request: 'unrouted', host: 'mesh.example', path: '/new/', configuration: 12, viewAgeMs: 3200 }),
  line('n2', 100, 'configuration-applied', { version: 13, source: 'store' }),
  line('n3', 200, 'configuration-applied', { version: 14, source: 'n2' }),
  line('n1', 900, 'configuration-applied', { version: 14, source: 'store' })
]

describe('RequestTimeline', () => {
  it('shows the steps of a refused request in order, the reason of the refusal, and gaps in the logs', () => {
    expect(buildTimeline('refused', readLogs(REFUSED))).toMatchSnapshot()
  })

  it('shows a rejected response and the calls that the endpoint made', () => {
    expect(buildTimeline('unknown', readLogs([UNKNOWN.join('\n')]))).toMatchSnapshot()
  })

  it('shows how far a node without a matching route lagged behind another node', () => {
    expect(buildTimeline('unrouted', readLogs(UNROUTED))).toMatchSnapshot()
  })

  it('reports a missing end of a request, and returns nothing for an id that no line contains', () => {
    const timeline = buildTimeline('refused', readLogs(REFUSED.slice(1)))
    expect([timeline?.ending, timeline?.gaps, buildTimeline('other', readLogs(REFUSED))]).toMatchSnapshot()
  })
})
