/**
 * Retries of all nodes together in any window, while processes are restarted and lose their counters. Nodes do not exchange their
 * numbers of retries, so partitions make no difference.
 */
import { expect } from 'chai'
import { RandomService } from '../../common/RandomService.js'
import type { Milliseconds, ServiceName, Timestamp } from '../../common/Types.js'
import { RetryBudgetShare } from './RetryBudgetShare.js'

const SERVICE = 's' as ServiceName
const STEP_MS = 50
const WINDOW_MS = 10_000
const DURATION_MS = 60_000
const STEPS_IN_WINDOW = WINDOW_MS / STEP_MS

/** True if a node is restarted in a step. The new process starts at once, which is the worst case. */
type Restarts = (node: number, step: number, nodes: number) => boolean

interface ILoad {
  readonly nodes: number
  readonly slack: number
  /** Mean number of requests of one node in a step. */
  readonly rate: number
  /** Share of attempts that fail. */
  readonly failing: (step: number) => number
}

describe('RetryBudgetShare of restarted nodes', () => {
  const ratio = 0.2

  /** Maximum excess of retries over the limit in any window; negative if the limit was never exceeded. */
  function excess (load: ILoad, restarts: Restarts, seed: number): number {
    const random = new RandomService(seed)
    const create = (): RetryBudgetShare => new RetryBudgetShare({ ratio, slack: load.slack, window: WINDOW_MS as Milliseconds })
    const budgetShares = Array.from({ length: load.nodes }, create)
    const requests: number[] = []
    const retries: number[] = []
    for (let step = 0; step < DURATION_MS / STEP_MS; step++) {
      requests.push(0)
      retries.push(0)
      for (let node = 0; node < load.nodes; node++) {
        const now = step * STEP_MS
        if (restarts(node, step, load.nodes)) {
          budgetShares[node] = create()
          budgetShares[node].recordRestart(now as Timestamp)
        }
        const budgetShare = budgetShares[node] as RetryBudgetShare
        const count = Math.floor(load.rate) + (random.fraction() < load.rate % 1 ? 1 : 0)
        for (let request = 0; request < count; request++) {
          budgetShare.recordRequest(SERVICE, now as Timestamp)
          requests[step]!++
          while (random.fraction() < load.failing(step) && budgetShare.tryAcquire(SERVICE, load.nodes, now as Timestamp)) retries[step]!++
        }
      }
    }
    return maximumExcess(requests, retries, load.slack)
  }

  /** The limit is relative to the largest number of requests in the window itself, half a window earlier or one window earlier. */
  function maximumExcess (requests: readonly number[], retries: readonly number[], slack: number): number {
    const inWindow = (counts: readonly number[], end: number): number =>
      counts.slice(Math.max(0, end - STEPS_IN_WINDOW), Math.max(0, end)).reduce((sum, count) => sum + count, 0)
    const excesses = retries.map((_, index) => {
      const end = index + 1
      const maximumRequests = Math.max(...[0, 0.5, 1].map((windows) => inWindow(requests, end - windows * STEPS_IN_WINDOW)))
      return inWindow(retries, end) - (ratio * maximumRequests + slack)
    })
    return Math.max(...excesses)
  }

  const loads: Readonly<Record<string, ILoad>> = {
    'a few nodes and all attempts failing': { nodes: 3, slack: 58, rate: 0.5, failing: () => 1 },
    'many nodes and all attempts failing': { nodes: 90, slack: 220, rate: 0.35, failing: () => 1 },
    'many nodes and all attempts failing from one moment on': { nodes: 18, slack: 58, rate: 0.3, failing: (step) => step < 400 ? 0 : 1 },
    'few requests': { nodes: 6, slack: 58, rate: 0.02, failing: () => 1 },
    'intermittent failures': { nodes: 18, slack: 58, rate: 1, failing: (step) => step % 300 < 60 ? 0.95 : 0.05 }
  }

  const kinds: Readonly<Record<string, (seed: number) => Restarts>> = {
    'no node is restarted': (): Restarts => () => false,
    'the nodes are restarted one after another': (): Restarts => (node, step, nodes) => step % STEPS_IN_WINDOW === Math.floor(node * 0.8 * STEPS_IN_WINDOW / nodes),
    'all nodes are restarted at once': (): Restarts => (_node, step) => step === 450,
    'nodes are restarted at random': (seed: number): Restarts => {
      const random = new RandomService(seed)
      return () => random.fraction() < 0.01
    },
    'all nodes are restarted repeatedly': (): Restarts => (_node, step) => step > 300 && step % 40 === 0
  }

  for (const [name, load] of Object.entries(loads)) {
    for (const [kind, restarts] of Object.entries(kinds)) {
      it(`keeps the limit with ${name} while ${kind}`, () => {
        for (const seed of [1, 2, 3]) expect(excess(load, restarts(seed), seed), `seed ${seed}`).to.be.at.most(0)
      })
    }
  }
})
