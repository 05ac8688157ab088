/** Decisions on retries. */
import { expect } from 'chai'
import type { Timestamp } from '../../common/Types.js'
import type { AttemptOutcome } from '../Types.js'
import { decideRetry, type IRetrySubject } from './RetryRules.js'

const NOW = 10_000 as Timestamp

describe('RetryRules', () => {
  const subject: IRetrySubject = { repeat: 'idempotent', attempts: 2, deadlineAt: 11_000 as Timestamp, isCancelled: false }
  const answered = (status: number): AttemptOutcome => ({ kind: 'answered', answer: { status, fields: [], body: Buffer.alloc(0) } })
  const outcomes: Record<string, AttemptOutcome> = {
    200: answered(200),
    404: answered(404),
    500: answered(500),
    504: answered(504),
    overloaded: { kind: 'refused', reason: 'overloaded' },
    draining: { kind: 'refused', reason: 'draining' },
    shed: { kind: 'refused', reason: 'shed' },
    deadline: { kind: 'refused', reason: 'deadline' },
    broken: { kind: 'unknown', reason: 'connection broke' },
    'unknown deadline': { kind: 'unknown', reason: 'deadline' }
  }

  it('does not retry after three refusals for lack of capacity', () => {
    const decisions = [1, 2, 3].map((capacityRefusals) => {
      return decideRetry(subject, outcomes.overloaded as AttemptOutcome, { arrivals: 0, tries: capacityRefusals, capacityRefusals }, NOW)
    })
    expect(decisions).to.deep.equal(['again', 'again', 'final'])
  })

  it('decides by outcome, idempotency, attempts and remaining time of the request', () => {
    const subjects: Record<string, IRetrySubject> = {
      idempotent: subject,
      'non-idempotent': { ...subject, repeat: 'non-idempotent' },
      'one attempt': { ...subject, attempts: 1 },
      'out of time': { ...subject, deadlineAt: NOW },
      cancelled: { ...subject, isCancelled: true }
    }
    const table: Record<string, Record<string, string>> = {}
    for (const [name, candidate] of Object.entries(subjects)) {
      const decisions = Object.entries(outcomes).map(([key, outcome]) => {
        return [key, decideRetry(candidate, outcome, { arrivals: 1, tries: 1, capacityRefusals: 0 }, NOW)] as const
      })
      table[name] = Object.fromEntries(decisions)
    }
    expect(table).toMatchSnapshot()
  })
})
