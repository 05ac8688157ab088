/** Retries of all nodes together within the shared limit. */
import { expect } from 'chai'
import type { Milliseconds, ServiceName, Timestamp } from '../../common/Types.js'
import { RetryBudgetShare } from './RetryBudgetShare.js'

const NOW = 10_000 as Timestamp

describe('RetryBudgetShare', () => {
  const service = 's' as ServiceName
  const options = { ratio: 0.2, slack: 60, window: 10_000 as Milliseconds }

  /** Number of retries that a node may make for `requests` that are spread over a window and all fail. */
  function retriesOf (requests: number, nodes: number): number {
    const budgetShare = new RetryBudgetShare(options)
    let retries = 0
    for (let number = 0; number < requests; number++) {
      const now = NOW + number * options.window / requests as Timestamp
      budgetShare.recordRequest(service, now)
      if (budgetShare.tryAcquire(service, nodes, now)) retries++
    }
    return retries
  }

  it('keeps the retries of all nodes within the shared limit, for different numbers of nodes and requests', () => {
    for (const nodes of [1, 6, 18, 90]) {
      for (const perNode of [5, 60, 1_000]) {
        expect(retriesOf(perNode, nodes) * nodes, `${nodes} nodes`).to.be.at.most(options.ratio * perNode * nodes + options.slack)
      }
    }
  })

  it('permits retries again once those of the previous window have expired', () => {
    const budgetShare = new RetryBudgetShare(options)
    while (budgetShare.tryAcquire(service, 18, NOW));
    const later = [9_000, 10_500].map((passed) => budgetShare.tryAcquire(service, 18, NOW + passed as Timestamp))
    expect(later).to.deep.equal([false, true])
  })
})
