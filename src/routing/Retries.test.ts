/** Property tests of retry rules, retry budget and outlier ejection. */
import { expect } from 'chai'
import fc from 'fast-check'
import { createEndpoint, RETRY } from '../../testing/RoutingFixtures.js'
import { RandomService } from '../common/RandomService.js'
import type { Timestamp } from '../common/Types.js'
import type { CallOutcome, NotRunReason } from '../gate/Types.js'
import { EndpointStatistics } from './EndpointStatistics.js'
import { OutlierDetector } from './OutlierDetector.js'
import { RetryBudget } from './RetryBudget.js'
import { drawBackoff, hasTimeForAttempt, isReselectionAllowed, isRetryAllowed } from './RetryRules.js'

const SEED = 20_261_204
const NOW = 1_000_000 as Timestamp

const reasons = fc.constantFrom<NotRunReason>('overloaded', 'draining', 'deadline', 'cancelled', 'no-endpoint', 'no-route', 'unreachable', 'quarantined',
  'key-missing', 'key-conflict', 'store-unavailable', 'too-large', 'rate-limited', 'malformed', 'not-ready')
const outcomes: fc.Arbitrary<CallOutcome> = fc.oneof(
  fc.integer({ min: 200, max: 599 }).map((status) => ({ kind: 'answered' as const, status })),
  reasons.map((reason) => ({ kind: 'not-run' as const, reason, step: 'test' })),
  fc.constant({ kind: 'unknown' as const, reason: 'connection broke', step: 'test' })
)
const calls = fc.record({
  repeat: fc.constantFrom('idempotent' as const, 'at-most-once' as const, 'non-idempotent' as const),
  depth: fc.nat(6),
  deadlineAt: fc.integer({ min: -50, max: 1_000 }).map((remaining) => NOW + remaining as Timestamp),
  isCancelled: fc.boolean()
})

describe('RetryRules', () => {
  it('allow a retry of a request that may have started only if it is idempotent and at its first hop', () => {
    fc.assert(fc.property(calls, outcomes, fc.nat(5), (call, outcome, attempts) => {
      const isAllowed = isRetryAllowed(call, outcome, attempts, RETRY) || isReselectionAllowed(call, outcome, attempts, NOW)
      if (!isAllowed) return
      expect(call.isCancelled).to.equal(false)
      if (outcome.kind === 'not-run') return
      expect(call.repeat).to.equal('idempotent')
      expect(call.depth).to.equal(0)
      expect(attempts).to.be.below(RETRY.attempts)
    }), { seed: SEED, numRuns: 3_000 })
  })

  it('allow no attempt after the deadline, and no backoff longer than its limit', () => {
    const random = new RandomService(SEED)
    fc.assert(fc.property(calls, fc.nat(40), (call, attempts) => {
      const backoff = drawBackoff(RETRY, attempts, random)
      expect(backoff).to.be.within(0, RETRY.backoffLimit)
      if (hasTimeForAttempt(call, backoff, NOW)) expect(NOW + backoff).to.be.below(call.deadlineAt)
      const refused: CallOutcome = { kind: 'not-run', reason: 'draining', step: 'test' }
      if (isReselectionAllowed(call, refused, 0, NOW)) expect(NOW as number).to.be.below(call.deadlineAt)
    }), { seed: SEED, numRuns: 1_000 })
  })
})

describe('RetryBudget', () => {
  it('grants at most its share of the requests in addition to the initial token', () => {
    fc.assert(fc.property(fc.array(fc.boolean(), { maxLength: 500 }), fc.integer({ min: 0, max: 100 }), (steps, percent) => {
      const budget = new RetryBudget({ tokenLimit: 10, initialTokens: 1 })
      let requests = 0
      let granted = 0
      for (const isRequest of steps) {
        if (isRequest) {
          requests++
          budget.deposit(percent)
        } else if (budget.withdraw()) {
          granted++
        }
        expect(granted).to.be.at.most(1 + requests * percent / 100 + 1e-6)
      }
    }), { seed: SEED, numRuns: 300 })
  })
})

describe('OutlierDetector', () => {
  const action = fc.record({ at: fc.nat(11), isGood: fc.boolean(), latency: fc.integer({ min: 1, max: 2_000 }), pause: fc.nat(500) })
  const actions = fc.array(action, { maxLength: 600 })

  it('never ejects more endpoints than the ceiling allows, and every ejection expires', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 12 }), fc.integer({ min: 0, max: 100 }), actions, (count, ceiling, steps) => {
      const detector = new OutlierDetector(new RandomService(SEED), { sampleMinimum: 3, failureLimit: 2 })
      const all = Array.from({ length: count }, (_, at) => new EndpointStatistics(createEndpoint(String(at)), 0, NOW))
      let now = NOW as number
      for (const step of steps) {
        now += step.pause
        const subject = all[step.at % count] as EndpointStatistics
        if (step.isGood) detector.recordSuccess(subject, step.latency, all, ceiling, now as Timestamp)
        else detector.recordFailure(subject, all, ceiling, now as Timestamp)
        const ejected = all.filter((candidate) => candidate.isEjected(now as Timestamp)).length
        expect(ejected * 100).to.be.at.most(count * ceiling)
        expect(detector.eligible(all, now as Timestamp)).to.not.be.empty
      }
      expect(all.some((candidate) => candidate.isEjected(now + 60_000 as Timestamp))).to.equal(false)
    }), { seed: SEED, numRuns: 200 })
  })

  it('ejects an endpoint that is slow compared with its peers, doubles the time of the next ejection, and resets it after normal latencies', () => {
    const detector = new OutlierDetector(new RandomService(SEED))
    const all = ['a', 'b', 'c', 'd', 'e', 'f'].map((id) => new EndpointStatistics(createEndpoint(id), 0, NOW))
    const slow = all[0] as EndpointStatistics
    const run = (now: Timestamp, latency: number): boolean[] => all.map((subject) => {
      let isEjected = false
      for (let number = 0; number < 40 && !isEjected; number++) {
        isEjected = detector.recordSuccess(subject, subject === slow ? latency : 10, all, 34, now)
      }
      return isEjected
    })
    run(NOW, 10)
    expect(run(NOW, 100)).to.deep.equal([true, false, false, false, false, false])
    const first = slow.ejectedUntil - NOW
    const back = slow.ejectedUntil as Timestamp
    run(back, 100)
    expect(slow.ejectedUntil - back).to.be.within(2_000, 4_000)
    expect(first).to.be.within(1_000, 2_000)
    run(slow.ejectedUntil as Timestamp, 10)
    expect(slow.ejections).to.equal(0)
  })

  it('ignores ejections if too few endpoints remain', () => {
    const detector = new OutlierDetector(new RandomService(SEED), { failureLimit: 1 })
    const all = ['a', 'b', 'c'].map((id) => new EndpointStatistics(createEndpoint(id), 0, NOW))
    for (const subject of all.slice(0, 2)) detector.recordFailure(subject, all, 100, NOW)
    expect(detector.eligible(all, NOW)).to.equal(all)
  })
})
