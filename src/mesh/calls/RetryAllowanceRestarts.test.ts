/**
 * How much all nodes together repeat in any window, while their processes are restarted and forget what they did. No node hears of
 * another one's repeats, so that it is the same while they are cut off.
 */
import { expect } from 'chai'
import { RandomService } from '../../common/RandomService.js'
import type { Milliseconds, ServiceName, Timestamp } from '../../common/Types.js'
import { RetryAllowance } from './RetryAllowance.js'

const SERVICE = 's' as ServiceName
const STEP_MS = 50
const WINDOW_MS = 10_000
const DURATION_MS = 60_000
const STEPS_IN_WINDOW = WINDOW_MS / STEP_MS

/** Times at which the processes of the nodes end; the next one of a node begins at once, which is the worst case. */
type Restarts = (node: number, step: number, nodes: number) => boolean

interface ILoad {
  readonly nodes: number
  readonly slack: number
  /** Requests of one node in a step. */
  readonly rate: number
  /** Share of attempts that fail. */
  readonly failing: (step: number) => number
}

describe('RetryAllowance of nodes that are restarted', () => {
  const ratio = 0.2

  /** The most by which repeats went over the limit in a window, in repeats; below 0 if they never did. */
  function excess (load: ILoad, restarts: Restarts, seed: number): number {
    const random = new RandomService(seed)
    const create = (): RetryAllowance => new RetryAllowance({ ratio, slack: load.slack, window: WINDOW_MS as Milliseconds })
    const allowances = Array.from({ length: load.nodes }, create)
    const requests: number[] = []
    const repeats: number[] = []
    for (let step = 0; step < DURATION_MS / STEP_MS; step++) {
      requests.push(0)
      repeats.push(0)
      for (let node = 0; node < load.nodes; node++) {
        const now = step * STEP_MS
        if (restarts(node, step, load.nodes)) {
          allowances[node] = create()
          allowances[node].noteRestart(now as Timestamp)
        }
        const allowance = allowances[node] as RetryAllowance
        const count = Math.floor(load.rate) + (random.fraction() < load.rate % 1 ? 1 : 0)
        for (let request = 0; request < count; request++) {
          allowance.noteRequest(SERVICE, now as Timestamp)
          requests[step]!++
          while (random.fraction() < load.failing(step) && allowance.take(SERVICE, load.nodes, now as Timestamp)) repeats[step]!++
        }
      }
    }
    return mostOver(requests, repeats, load.slack)
  }

  /** As the requests for a service count those of the window, of the one before it, or of the one half a window before it. */
  function mostOver (requests: readonly number[], repeats: readonly number[], slack: number): number {
    const inWindow = (counts: readonly number[], end: number): number =>
      counts.slice(Math.max(0, end - STEPS_IN_WINDOW), Math.max(0, end)).reduce((sum, count) => sum + count, 0)
    const overs = repeats.map((_, index) => {
      const end = index + 1
      const most = Math.max(...[0, 0.5, 1].map((windows) => inWindow(requests, end - windows * STEPS_IN_WINDOW)))
      return inWindow(repeats, end) - (ratio * most + slack)
    })
    return Math.max(...overs)
  }

  const loads: Readonly<Record<string, ILoad>> = {
    'a few nodes where all fails': { nodes: 3, slack: 58, rate: 0.5, failing: () => 1 },
    'many nodes where all fails': { nodes: 90, slack: 220, rate: 0.35, failing: () => 1 },
    'many nodes where all fails suddenly': { nodes: 18, slack: 58, rate: 0.3, failing: (step) => step < 400 ? 0 : 1 },
    'few requests': { nodes: 6, slack: 58, rate: 0.02, failing: () => 1 },
    'failures that come and go': { nodes: 18, slack: 58, rate: 1, failing: (step) => step % 300 < 60 ? 0.95 : 0.05 }
  }

  const kinds: Readonly<Record<string, (seed: number) => Restarts>> = {
    'none is restarted': (): Restarts => () => false,
    'each is restarted in turn': (): Restarts => (node, step, nodes) => step % STEPS_IN_WINDOW === Math.floor(node * 0.8 * STEPS_IN_WINDOW / nodes),
    'all are restarted at once': (): Restarts => (_node, step) => step === 450,
    'processes end at random': (seed: number): Restarts => {
      const random = new RandomService(seed)
      return () => random.fraction() < 0.01
    },
    'all end again and again': (): Restarts => (_node, step) => step > 300 && step % 40 === 0
  }

  for (const [name, load] of Object.entries(loads)) {
    for (const [kind, restarts] of Object.entries(kinds)) {
      it(`keeps the limit with ${name} while ${kind}`, () => {
        for (const seed of [1, 2, 3]) expect(excess(load, restarts(seed), seed), `seed ${seed}`).to.be.at.most(0)
      })
    }
  }
})
