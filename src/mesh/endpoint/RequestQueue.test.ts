/** Order and refusal of requests when the load exceeds the capacity of an endpoint. */
import { expect } from 'chai'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { RequestQueue, type IQueuedRequest } from './RequestQueue.js'

interface INamedRequest extends IQueuedRequest { readonly name: string }

function request (name: string, rank: number, options: { expected?: number, objective?: number, deadline?: number } = {}): INamedRequest {
  const { expected = 100, objective = 500, deadline = 1_000 } = options
  return { name, rank, expected: expected as Milliseconds, objectiveAt: objective as Timestamp, deadlineAt: deadline as Timestamp }
}

const START = 0 as Timestamp

function queueOf (slots: number): RequestQueue<INamedRequest> {
  const queue = new RequestQueue<INamedRequest>()
  queue.resize(slots)
  return queue
}

describe('Request queue of an endpoint', () => {
  it('serves queued requests by rank, within a rank those that can meet their objective first, by objective', () => {
    const queue = queueOf(1)
    const running = request('running', 5)
    queue.offer(running, START)
    for (const waiting of [request('low', 2), request('late', 1, { objective: 50 }), request('soon', 1, { objective: 300 }), request('later', 1)]) queue.offer(waiting, START)
    const order: string[] = []
    let last = running
    for (let turn = 0; turn < 4; turn++) {
      queue.release(last)
      const { next } = queue.next(START)
      if (next === undefined) break
      order.push(next.name)
      last = next
    }
    expect(order).to.deep.equal(['soon', 'later', 'late', 'low'])
  })

  it('refuses on arrival a request that cannot be served before its deadline, with the time after which capacity is expected', () => {
    const queue = queueOf(1)
    queue.offer(request('running', 1, { expected: 400 }), START)
    queue.offer(request('waiting', 1, { expected: 700, objective: 900 }), START)
    expect(queue.offer(request('hopeless', 1, { objective: 950, deadline: 800 }), START)).to.deep.equal({ kind: 'refuse', retryAfter: 900 })
  })

  it('displaces only those lower-ranked requests that can no longer finish in time after an important one arrives', () => {
    const queue = queueOf(1)
    queue.offer(request('running', 1, { expected: 400 }), START)
    queue.offer(request('low', 2, { deadline: 450 }), START)
    queue.offer(request('patient', 2, { deadline: 5_000 }), START)
    const decision = queue.offer(request('important', 0, { expected: 300 }), START)
    expect(decision.kind === 'wait' && decision.displaced.map(({ name }) => name)).to.deep.equal(['low'])
    expect(queue.waiting).to.equal(2)
  })

  it('does not let an important request wait for a burst of less important ones', () => {
    const queue = queueOf(2)
    for (let number = 0; number < 50; number++) queue.offer(request(`low-${number}`, 3, { deadline: 10_000 }), START)
    expect(queue.expectedWait(request('high', 0), START)).to.be.below(queue.expectedWait(request('low', 3), START) / 10)
  })

  it('refuses late requests long before their deadline while new requests keep arriving above capacity', () => {
    const queue = queueOf(4)
    const completions: Array<{ at: number, request: INamedRequest }> = []
    const refusedAfter: number[] = []
    const start = (request: INamedRequest, now: number): void => { completions.push({ at: now + request.expected, request }) }
    const recordRefused = (requests: readonly INamedRequest[], now: number): void => {
      for (const { objectiveAt } of requests) refusedAfter.push(now - (objectiveAt - 300))
    }
    for (let now = 0; now < 10_000; now++) {
      for (const { request } of completions.filter(({ at }) => at === now)) {
        queue.release(request)
        const { next, expired } = queue.next(now as Timestamp)
        recordRefused(expired, now)
        if (next !== undefined) start(next, now)
      }
      // A request of 100 ms every 20 ms needs five slots; the endpoint has four.
      if (now % 20 !== 0) continue
      const newest = request(`r${now}`, 1, { objective: now + 300, deadline: now + 2_000 })
      const decision = queue.offer(newest, now as Timestamp)
      if (decision.kind === 'start') start(newest, now)
      if (decision.kind === 'wait') recordRefused(decision.displaced, now)
      if (decision.kind === 'refuse') recordRefused([newest], now)
    }
    expect([refusedAfter.length > 50, Math.max(...refusedAfter) < 700]).to.deep.equal([true, true])
  })

  it('returns queued requests that can no longer finish before their deadline as expired', () => {
    const queue = queueOf(1)
    const running = request('running', 1)
    queue.offer(running, START)
    queue.offer(request('waiting', 1, { deadline: 300 }), START)
    queue.release(running)
    const { next, expired } = queue.next(290 as Timestamp)
    expect([next, expired.map(({ name }) => name)]).to.deep.equal([undefined, ['waiting']])
  })
})
