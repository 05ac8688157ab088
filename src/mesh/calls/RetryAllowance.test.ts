/** How much is repeated by all nodes together. */
import { expect } from 'chai'
import type { Milliseconds, ServiceName, Timestamp } from '../../common/Types.js'
import { RetryAllowance } from './RetryAllowance.js'

const NOW = 10_000 as Timestamp

describe('RetryAllowance', () => {
  const service = 's' as ServiceName
  const options = { ratio: 0.2, slack: 60, window: 10_000 as Milliseconds }

  /** Repeats that a node gets out of `requests` spread over a window in which every one fails. */
  function repeatsOf (requests: number, nodes: number): number {
    const allowance = new RetryAllowance(options)
    let repeats = 0
    for (let number = 0; number < requests; number++) {
      const now = NOW + number * options.window / requests as Timestamp
      allowance.noteRequest(service, now)
      if (allowance.take(service, nodes, now)) repeats++
    }
    return repeats
  }

  it('keeps all nodes together below the shared limit, however the requests are divided', () => {
    for (const nodes of [1, 6, 18, 90]) {
      for (const perNode of [5, 60, 1_000]) {
        expect(repeatsOf(perNode, nodes) * nodes, `${nodes} nodes`).to.be.at.most(options.ratio * perNode * nodes + options.slack)
      }
    }
  })

  it('forgets a window that has passed', () => {
    const allowance = new RetryAllowance(options)
    while (allowance.take(service, 18, NOW));
    const later = [9_000, 10_500].map((passed) => allowance.take(service, 18, NOW + passed as Timestamp))
    expect(later).to.deep.equal([false, true])
  })
})
