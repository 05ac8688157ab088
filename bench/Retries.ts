/** Amplification of requests by retries in a chain of six services. */
import { RandomService } from '../src/common/RandomService.js'
import type { Milliseconds } from '../src/common/Types.js'
import { HEADER, type ICall } from '../src/gate/Types.js'
import { ManualClock } from '../testing/ManualClock.js'
import { FakeRequest, RecordingSink } from '../testing/RoutingFixtures.js'
import { BOUNDS } from './Bounds.js'
import { FakeService } from '../testing/routing/FakeService.js'
import type { IBench, IFigure } from './Types.js'

const CHAIN_LENGTH = 6
const SLOTS = 9
const QUEUE = 18
const SERVICE_MS = 3
const CALLS = 3_000
const QUICK_CALLS = 1_000
const ARRIVAL_INTERVAL_MS = 10
const BUDGET_PERCENT = 10
const NAIVE_ATTEMPTS = 3
const FAILING_SHARES = [0.1, 0.5, 1]
/** Time after the last arrival within which all calls finish. */
const SETTLE_MS = 5_000

/** Runs on a manual clock, so that the figures do not depend on the machine. */
export const RETRIES: IBench = {
  name: 'retries',
  summary: 'Requests per call through a chain of six services while the last one fails; baseline: retries at every hop',
  run: async (options, report) => {
    const calls = options.quick ? QUICK_CALLS : CALLS
    for (const share of FAILING_SHARES) {
      const designed = await runChain(options.seed, calls, share, false)
      reportChain('budget at the first hop', share, designed, report, BOUNDS.retryAmplification)
      if (!options.baseline) continue
      reportChain('baseline three attempts at every hop', share, await runChain(options.seed, calls, share, true), report)
    }
  }
}

/** Results of one run. */
interface IChainResult {
  /** Requests per call at the service that ran the most requests. */
  readonly amplification: number
  readonly answeredPercent: number
}

function reportChain (name: string, share: number, result: IChainResult, report: (figure: IFigure) => void, bound?: number): void {
  const label = `${name}, last service fails ${share * 100} %`
  report({ name: `${label}: requests run a call at the busiest service`, value: round(result.amplification), unit: 'requests', bound })
  report({ name: `${label}: calls answered well`, value: round(result.answeredPercent), unit: '%' })
}

async function runChain (seed: number, calls: number, failingShare: number, isNaive: boolean): Promise<IChainResult> {
  const clock = new ManualClock()
  const random = new RandomService(seed)
  const services = createChain(clock, random, isNaive)
  for (const upstream of services.at(-1)?.upstreams ?? []) upstream.failingShare = failingShare
  let answered = 0
  const [first] = services as [FakeService]
  for (let number = 0; number < calls; number++) {
    clock.after(number * ARRIVAL_INTERVAL_MS as Milliseconds, () => {
      const attempts = isNaive ? NAIVE_ATTEMPTS : 1
      callService(first, clock, number % first.routers.length, attempts, {}).then((status) => { if (status === 200) answered++ })
    })
  }
  await clock.advance(calls * ARRIVAL_INTERVAL_MS + SETTLE_MS)
  const maximum = Math.max(...services.map((service) => service.executions))
  return { amplification: maximum / calls, answeredPercent: answered * 100 / calls }
}

/** Creates a chain of services in which each service calls the next one. */
function createChain (clock: ManualClock, random: RandomService, isNaive: boolean): readonly FakeService[] {
  const services: FakeService[] = []
  for (let position = CHAIN_LENGTH - 1; position >= 0; position--) {
    const next = services[0]
    const runUpstreamCall = next === undefined ? undefined : (call: ICall): Promise<number> => callNext(next, clock, call, random, isNaive)
    services.unshift(new FakeService({
      clock,
      random,
      endpointsPerDomain: 1,
      retry: { budget: BUDGET_PERCENT },
      upstream: () => ({ slots: SLOTS, queue: QUEUE, serviceMs: SERVICE_MS, reportAgeMs: 0, work: runUpstreamCall })
    }))
  }
  return services
}

/** Call of an upstream to the next service, with the depth increased by one and the remaining time as its deadline. */
function callNext (next: FakeService, clock: ManualClock, call: ICall, random: RandomService, isNaive: boolean): Promise<number> {
  const remaining = Math.max(0, Math.floor(call.deadlineAt - clock.now()))
  const headers = { [HEADER.depth]: String(call.depth + 1), [HEADER.deadline]: String(remaining) }
  return callService(next, clock, random.integer(next.routers.length), isNaive ? NAIVE_ATTEMPTS : 1, headers)
}

/** Calls a service and returns the status of the response; 503 if there was none. */
async function callService (
  service: FakeService, clock: ManualClock, domain: number, attempts: number, headers: Readonly<Record<string, string>>
): Promise<number> {
  // If the caller retries by itself, it disables the retries of the router by sending a depth above 0.
  const sent = attempts > 1 ? { [HEADER.depth]: '1', ...headers } : headers
  for (let attempt = 1; ; attempt++) {
    const outcome = await service.routers[domain]?.route(new FakeRequest('GET', '/status/1', sent), new RecordingSink(), clock.now())
    const status = outcome?.kind === 'answered' ? outcome.status : 503
    if (status === 200 || attempt >= attempts) return status
  }
}

function round (value: number): number {
  return Math.round(value * 1_000) / 1_000
}
