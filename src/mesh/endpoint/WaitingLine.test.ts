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
