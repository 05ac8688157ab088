/** Order and times of the steps of a planned stop. */
import { expect } from 'chai'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { StopSchedule, type StopKind } from './StopSchedule.js'

interface IStop {
  readonly limit: number
  /** Time until which requests are in flight. */
  readonly busyUntil?: number
  /** Time of the first readiness probe of the platform. */
  readonly firstProbeAt?: number
  readonly kind?: StopKind
}

/** All steps of the stop with their times. */
function stepsOf ({ limit, busyUntil = 0, firstProbeAt = Infinity, kind = 'returning' }: IStop): string[] {
  const schedule = new StopSchedule(0 as Timestamp, limit as Milliseconds, kind)
  const steps: string[] = []
  for (let now = 0; now < 20_000; now += 50) {
    const progress = { inFlight: now < busyUntil ? 1 : 0, notReadyReportedAt: now >= firstProbeAt ? firstProbeAt as Timestamp : undefined }
    const step = schedule.next(progress, now as Timestamp)
    if (step !== 'wait') steps.push(`${step} ${now}`)
    if (step === 'end') return steps
  }
  return steps
}

describe('StopSchedule', () => {
  it('announces, refuses nodes and callers, and ends when no request is in flight', () => {
    expect(stepsOf({ limit: 6_000 })).to.deep.equal(['announce 1300', 'refuse-nodes 2100', 'refuse-callers 2400', 'end 2450'])
  })

  it('ends early when two readiness probes of the platform have failed', () => {
    expect(stepsOf({ limit: 6_000, firstProbeAt: 300 })).to.deep.equal(['announce 300', 'refuse-nodes 1100', 'refuse-callers 1500', 'end 1550'])
  })

  it('waits for requests in flight, but not beyond its limit', () => {
    expect([stepsOf({ limit: 6_000, busyUntil: 3_000 }).at(-1), stepsOf({ limit: 6_000, busyUntil: 60_000 }).at(-1)]).to.deep.equal(['end 3000', 'end 5700'])
  })

  it('keeps every step within a short limit', () => {
    const steps = stepsOf({ limit: 2_000, busyUntil: 60_000 })
    expect(steps).to.deep.equal(['announce 500', 'refuse-nodes 1000', 'refuse-callers 1050', 'conclude 1700', 'end 1900'])
  })

  it('concludes requests that still run shortly before the end, in the last sixth of the limit', () => {
    const steps = [3_000, 6_000, 10_000].map((limit) => stepsOf({ limit, busyUntil: 60_000 }).slice(-2))
    expect(steps).to.deep.equal([['conclude 2550', 'end 2850'], ['conclude 5100', 'end 5700'], ['conclude 9100', 'end 9700']])
  })

  it('ends when the last response has been sent, and lets a slow caller read it until shortly before the limit', () => {
    const ends = [5_100, 5_300, 5_650, 60_000].map((busyUntil) => stepsOf({ limit: 6_000, busyUntil }).at(-1))
    expect(ends).to.deep.equal(['end 5100', 'end 5300', 'end 5650', 'end 5700'])
  })

  it('shortens a deadline after the end of the stop, and refuses a request with such a deadline from 2.8 s on', () => {
    const schedule = new StopSchedule(0 as Timestamp, 6_000 as Milliseconds, 'without-endpoint')
    const requests = [[4_500, 100], [5_000, 2_900], [6_000, 1_000], [7_750, 2_750], [5_101, 2_800], [5_100, 2_950]] as const
    const deadlines = requests.map(([deadlineAt, now]) => schedule.deadlineOf(deadlineAt as Timestamp, now as Timestamp))
    expect(deadlines).to.deep.equal([4_500, 5_000, 5_100, 5_100, undefined, 5_100])
  })

  it('gives every accepted request a deadline within the stop, for each limit and kind of stop', () => {
    for (const limit of [2_000, 3_000, 6_000, 10_000]) {
      for (const kind of ['returning', 'without-endpoint'] as const) {
        const schedule = new StopSchedule(0 as Timestamp, limit as Milliseconds, kind)
        for (let now = 0; now < limit; now += 50) {
          const deadlineAt = schedule.deadlineOf(now + 5_000 as Timestamp, now as Timestamp)
          expect(deadlineAt ?? 0, `${kind} ${limit} ${now}`).to.be.at.most(limit - Math.min(900, limit * 0.15))
        }
      }
    }
  })

  it('leaves at least 1 s of a limit of 3 s to requests that were accepted before callers are refused', () => {
    const [refused, concluded] = stepsOf({ limit: 3_000, busyUntil: 60_000 }).slice(-3).map((step) => Number(step.split(' ')[1]))
    expect((concluded ?? 0) - (refused ?? 0)).to.be.at.least(1_000)
  })

  it('serves callers longer when the node has no endpoint', () => {
    const steps = stepsOf({ limit: 6_000, firstProbeAt: 300, kind: 'without-endpoint' })
    expect(steps).to.deep.equal(['announce 300', 'refuse-nodes 1100', 'refuse-callers 3000', 'end 5100'])
  })
})
