/** What is repeated. */
import { expect } from 'chai'
import type { Timestamp } from '../../common/Types.js'
import type { AttemptOutcome } from '../Types.js'
import { judgeRepeat, type IRepeatSubject } from './RepeatRules.js'

const NOW = 10_000 as Timestamp

describe('RepeatRules', () => {
  const subject: IRepeatSubject = { repeat: 'idempotent', attempts: 2, deadlineAt: 11_000 as Timestamp, isCancelled: false }
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

  it('gives up after some endpoints have refused for want of room', () => {
    const verdicts = [1, 2, 3].map((refusalsForRoom) => {
      return judgeRepeat(subject, outcomes.overloaded as AttemptOutcome, { arrivals: 0, tries: refusalsForRoom, refusalsForRoom }, NOW)
    })
    expect(verdicts).to.deep.equal(['again', 'again', 'final'])
  })

  it('decides each outcome by the kind of the request, its attempts and its time', () => {
    const subjects: Record<string, IRepeatSubject> = {
      idempotent: subject,
      'non-idempotent': { ...subject, repeat: 'non-idempotent' },
      'one attempt': { ...subject, attempts: 1 },
      'out of time': { ...subject, deadlineAt: NOW },
      cancelled: { ...subject, isCancelled: true }
    }
    const table: Record<string, Record<string, string>> = {}
    for (const [name, candidate] of Object.entries(subjects)) {
      const verdicts = Object.entries(outcomes).map(([key, outcome]) => {
        return [key, judgeRepeat(candidate, outcome, { arrivals: 1, tries: 1, refusalsForRoom: 0 }, NOW)] as const
      })
      table[name] = Object.fromEntries(verdicts)
    }
    expect(table).toMatchSnapshot()
  })
})
