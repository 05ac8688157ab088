/** Calls and outcomes are decoded as they were encoded, whatever characters their names contain. */
import { expect } from 'chai'
import fc from 'fast-check'
import type { EndpointId, Milliseconds, RequestId, RouteName, ServiceName, Timestamp } from '../../common/Types.js'
import type { AttemptOutcome, IMeshCall } from '../Types.js'
import { decodeCall, decodeOutcome, encodeCall, encodeOutcome, NODE_HEADER } from './CallCodec.js'
import { PeerClock } from './PeerClock.js'

const NOW = 50_000 as Timestamp
const SEED = 20261204
const BODY = Buffer.from('body')

/** Header fields in the form in which Node.js passes them to the receiver. */
function toHeaders (fields: readonly string[]): Record<string, string> {
  const headers: Record<string, string> = {}
  for (let index = 0; index < fields.length; index += 2) headers[fields[index] ?? ''] = fields[index + 1] ?? ''
  return headers
}

function callOf (name: string, rank: number, left: number, repeat: IMeshCall['repeat']): IMeshCall {
  return {
    requestId: 'id' as RequestId,
    callerRequestId: undefined,
    route: name as RouteName,
    service: `${name};` as ServiceName,
    endpoint: `${name}%` as EndpointId,
    callerService: name,
    repeat,
    rank,
    objectiveAt: NOW + left as Timestamp,
    deadlineAt: NOW + 2 * left as Timestamp,
    method: 'GET',
    path: '/a',
    fields: [],
    body: BODY
  }
}

describe('CallCodec', () => {
  it('decodes an encoded call to an equal call', () => {
    const names = fc.string({ unit: 'grapheme', maxLength: 20 })
    const kinds = fc.constantFrom<IMeshCall['repeat']>('idempotent', 'non-idempotent')
    fc.assert(fc.property(names, fc.nat(9), fc.nat(60_000), kinds, (name, rank, left, repeat) => {
      const call = callOf(name, rank, left, repeat)
      const headers = toHeaders(encodeCall(call, NOW))
      const parts = { method: call.method, path: call.path, headers, body: BODY, callerRequestId: undefined, fields: [] }
      expect(decodeCall(parts, NOW)).to.deep.equal(call)
    }), { seed: SEED })
  })

  it('rejects a call field with a missing, surplus, malformed or non-numeric component', () => {
    const text = toHeaders(encodeCall(callOf('n', 1, 100, 'idempotent'), NOW))[NODE_HEADER.call] ?? ''
    const broken = ['', text.replace(/;[^;]*$/, ''), `${text};1;1`, `${text};`, `${text};x`, text.replace(/;1;/, ';x;'), text.replace(/^id/, ''), text.replace('n;', '%;')]
    const calls = broken.map((value) => decodeCall({
      method: 'GET', path: '/', headers: { [NODE_HEADER.call]: value }, body: undefined, callerRequestId: undefined, fields: []
    }, NOW))
    expect(calls.every((call) => call === undefined)).to.equal(true)
  })

  it('subtracts the transit time of a call from its remaining times, unless the transit time is implausibly long', () => {
    const peerClock = new PeerClock()
    const offset = 7_000
    peerClock.recordSample({ sentAt: NOW, receivedAt: NOW, reportedAt: NOW + offset as Timestamp, handled: 0 as Milliseconds })
    const call = callOf('n', 1, 1_000, 'idempotent')
    const headers = toHeaders(encodeCall(call, NOW, peerClock))
    const subtractedTime = (transitTime: number): number => {
      const readAt = (peerClock.timeAt(NOW) ?? 0) + transitTime as Timestamp
      const read = decodeCall({ method: 'GET', path: '/', headers, body: undefined, callerRequestId: undefined, fields: [] }, readAt)
      const [objectiveLeft = 0, deadlineLeft = 0] = [read?.objectiveAt, read?.deadlineAt].map((moment) => (moment ?? 0) - readAt)
      expect(deadlineLeft - objectiveLeft).to.equal(1_000)
      return 2_000 - deadlineLeft
    }
    expect([-500, 0, 1, 1_500, 2_001].map(subtractedTime)).to.deep.equal([0, 0, 1, 1_500, 0])
  })

  it('decodes encoded outcomes to equal outcomes and rejects one with an unknown reason', () => {
    const load = { occupied: 3, slots: 9, serviceTime: 120 as Milliseconds, failurePercent: 4, handled: 88 as Milliseconds }
    const timed = { ...load, reportedAt: NOW }
    const outcomes: readonly AttemptOutcome[] = [
      { kind: 'answered', answer: { status: 201, fields: ['x-a', 'b'], body: BODY }, load },
      { kind: 'refused', reason: 'overloaded', retryAfter: 250 as Milliseconds, load },
      { kind: 'refused', reason: 'shed', retryAfter: undefined, load: timed },
      { kind: 'refused', reason: 'draining', retryAfter: undefined, load: undefined },
      { kind: 'unknown', reason: 'broke; 100 %', load: undefined }
    ]
    for (const outcome of outcomes) {
      const { status, fields, body } = encodeOutcome(outcome)
      const expected = outcome.kind === 'answered' ? { load: undefined, ...outcome } : outcome
      expect(decodeOutcome(status, toHeaders(fields), body)).to.deep.equal(expected)
    }
    expect(decodeOutcome(503, { [NODE_HEADER.outcome]: 'refused;whim' }, BODY)).to.equal(undefined)
  })
})
