/** Loads above what an endpoint can do. */
import { expect } from 'chai'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { WaitingLine, type IWaitingRequest } from './WaitingLine.js'

interface INamedRequest extends IWaitingRequest { readonly name: string }

function request (name: string, rank: number, options: { expected?: number, objective?: number, deadline?: number } = {}): INamedRequest {
  const { expected = 100, objective = 500, deadline = 1_000 } = options
  return { name, rank, expected: expected as Milliseconds, objectiveAt: objective as Timestamp, deadlineAt: deadline as Timestamp }
}

const START = 0 as Timestamp

function lineOf (slots: number): WaitingLine<INamedRequest> {
  const line = new WaitingLine<INamedRequest>()
  line.resize(slots)
  return line
}

describe('WaitingLine', () => {
  it('starts what fits and lets the most important go first, then the ones that can still be on time', () => {
    const line = lineOf(1)
    const running = request('running', 5)
    line.offer(running, START)
    for (const waiting of [request('low', 2), request('late', 1, { objective: 50 }), request('soon', 1, { objective: 300 }), request('later', 1)]) line.offer(waiting, START)
    const order: string[] = []
    let last = running
    for (let turn = 0; turn < 4; turn++) {
      line.release(last)
      const { next } = line.next(START)
      if (next === undefined) break
      order.push(next.name)
      last = next
    }
    expect(order).to.deep.equal(['soon', 'later', 'late', 'low'])
  })

  it('refuses at once what cannot be served before its deadline, with the time after which there is room', () => {
    const line = lineOf(1)
    line.offer(request('running', 1, { expected: 400 }), START)
    line.offer(request('waiting', 1, { expected: 700, objective: 900 }), START)
    expect(line.offer(request('hopeless', 1, { objective: 950, deadline: 800 }), START)).to.deep.equal({ kind: 'refuse', retryAfter: 900 })
  })

  it('gives up requests of lower rank that an important one leaves without a chance, and no others', () => {
    const line = lineOf(1)
    line.offer(request('running', 1, { expected: 400 }), START)
    line.offer(request('low', 2, { deadline: 450 }), START)
    line.offer(request('patient', 2, { deadline: 5_000 }), START)
    const decision = line.offer(request('important', 0, { expected: 300 }), START)
    expect(decision.kind === 'wait' && decision.displaced.map(({ name }) => name)).to.deep.equal(['low'])
    expect(line.waiting).to.equal(2)
  })

  it('never keeps an important request behind a burst of unimportant ones', () => {
    const line = lineOf(2)
    for (let number = 0; number < 50; number++) line.offer(request(`low-${number}`, 3, { deadline: 10_000 }), START)
    expect(line.expectedWait(request('high', 0), START)).to.be.below(line.expectedWait(request('low', 3), START) / 10)
  })

  it('refuses late requests while more on-time ones than there is room for go on arriving, long before their deadline', () => {
    const line = lineOf(4)
    const ends: Array<{ at: number, request: INamedRequest }> = []
    const refusedAfter: number[] = []
    const start = (request: INamedRequest, now: number): void => { ends.push({ at: now + request.expected, request }) }
    const drop = (requests: readonly INamedRequest[], now: number): void => {
      for (const { objectiveAt } of requests) refusedAfter.push(now - (objectiveAt - 300))
    }
    for (let now = 0; now < 10_000; now++) {
      for (const { request } of ends.filter(({ at }) => at === now)) {
        line.release(request)
        const { next, expired } = line.next(now as Timestamp)
        drop(expired, now)
        if (next !== undefined) start(next, now)
      }
      // A request of 100 ms each 20 ms needs five slots.
      if (now % 20 !== 0) continue
      const newest = request(`r${now}`, 1, { objective: now + 300, deadline: now + 2_000 })
      const decision = line.offer(newest, now as Timestamp)
      if (decision.kind === 'start') start(newest, now)
      if (decision.kind === 'wait') drop(decision.displaced, now)
      if (decision.kind === 'refuse') drop([newest], now)
    }
    expect([refusedAfter.length > 50, Math.max(...refusedAfter) < 700]).to.deep.equal([true, true])
  })

  it('hands back what waited until its time had run out', () => {
    const line = lineOf(1)
    const running = request('running', 1)
    line.offer(running, START)
    line.offer(request('waiting', 1, { deadline: 300 }), START)
    line.release(running)
    const { next, expired } = line.next(290 as Timestamp)
    expect([next, expired.map(({ name }) => name)]).to.deep.equal([undefined, ['waiting']])
  })
})
