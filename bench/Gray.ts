/** Tail latency with an endpoint that is slow although its health checks pass, and with delayed load reports. */
import { ManualClock } from '../testing/ManualClock.js'
import { FakeRequest, RecordingSink } from '../testing/RoutingFixtures.js'
import { RandomService } from '../src/common/RandomService.js'
import type { Milliseconds } from '../src/common/Types.js'
import type { RouterService } from '../src/routing/RouterService.js'
import { DOMAINS, FakeService, type IFakeServiceOptions } from '../testing/routing/FakeService.js'
import type { IBench, IBenchOptions, IFigure } from './Types.js'

const SECOND_MS = 1_000
const SLOTS = 9
const QUEUE = 18
const SERVICE_MS = 5
const SLOW_FACTOR = 10
/** Calls per second that enter in each failure domain. */
const RATE = 91
/** Calls per second that enter in the failure domain whose endpoint is overloaded by them. */
const OVERFLOW_RATE = 2_200
const REPORT_DELAY_MS = 5_000
const FAULTLESS_SECONDS = 20
const FAULT_SECONDS = 60
const QUICK_FAULT_SECONDS = 20

/** Load balancing policy. */
interface IPolicy {
  readonly name: string
  readonly options: Pick<IFakeServiceOptions, 'pool'>
}

const DESIGNED: IPolicy = { name: 'as designed', options: {} }
const RANDOM: IPolicy = { name: 'baseline random over all endpoints', options: { pool: { balancing: 'random', ejectionCeiling: 0, spillAt: -1 } } }
const NEAREST: IPolicy = { name: 'baseline nearest only, no ejection', options: { pool: { ejectionCeiling: 0 } } }

/** Latencies of calls, by the failure domain in which they entered. */
interface ILoadResult {
  readonly latencies: number[][]
  failures: number
}

/** Runs on a manual clock, so that the figures do not depend on the machine. */
export const GRAY: IBench = {
  name: 'gray',
  summary: 'p99 with one endpoint that is ten times slower although its health checks pass, and with one domain whose load reports are delayed',
  run: async (options, report) => {
    const policies = options.baseline ? [DESIGNED, RANDOM, NEAREST] : [DESIGNED]
    for (const policy of policies) {
      for (const perDomain of [1, 3]) await measureSlow(policy, perDomain, options, report)
    }
    for (const delayMs of [0, REPORT_DELAY_MS]) {
      for (const policy of policies) await measureReportDelay(policy, delayMs, options, report)
    }
  }
}

async function measureSlow (policy: IPolicy, perDomain: number, options: IBenchOptions, report: (figure: IFigure) => void): Promise<void> {
  const clock = new ManualClock()
  const random = new RandomService(options.seed)
  const service = new FakeService({
    ...policy.options,
    clock,
    random,
    endpointsPerDomain: perDomain,
    upstream: () => ({ slots: SLOTS, queue: QUEUE, serviceMs: SERVICE_MS, reportAgeMs: 0 })
  })
  const label = `${policy.name}, ${perDomain} endpoints a domain`
  const faultless = await runLoad(clock, random, service.routers, FAULTLESS_SECONDS, () => RATE)
  report({ name: `${label}: p99 without fault`, value: quantileOf(faultless.latencies[0] ?? []), unit: 'ms' })
  const [slow] = service.upstreams
  if (slow !== undefined) slow.slowFactor = SLOW_FACTOR
  const faulty = await runLoad(clock, random, service.routers, options.quick ? QUICK_FAULT_SECONDS : FAULT_SECONDS, () => RATE)
  report({ name: `${label}: p99 in the slow endpoint's domain`, value: quantileOf(faulty.latencies[0] ?? []), unit: 'ms' })
  report({ name: `${label}: p99 in all domains`, value: quantileOf(faulty.latencies.flat()), unit: 'ms' })
  report({ name: `${label}: failed calls`, value: faulty.failures, unit: 'calls' })
}

/** One domain receives more calls than its endpoint can serve; the load reports of the endpoint that receives the surplus are delayed. */
async function measureReportDelay (
  policy: IPolicy, delayMs: number, options: IBenchOptions, report: (figure: IFigure) => void
): Promise<void> {
  const clock = new ManualClock()
  const random = new RandomService(options.seed)
  const upstream = (at: number): ReturnType<IFakeServiceOptions['upstream']> =>
    ({ slots: SLOTS, queue: QUEUE, serviceMs: SERVICE_MS, reportAgeMs: at === 1 ? delayMs : 0 })
  const service = new FakeService({ ...policy.options, clock, random, endpointsPerDomain: 1, upstream })
  const seconds = options.quick ? 5 : FAULTLESS_SECONDS
  const result = await runLoad(clock, random, service.routers, seconds, (domain) => domain === 0 ? OVERFLOW_RATE : RATE)
  const label = `${policy.name}, load reports ${delayMs} ms late`
  report({ name: `${label}: p99 in the full domain`, value: quantileOf(result.latencies[0] ?? []), unit: 'ms' })
  report({ name: `${label}: failed calls`, value: result.failures, unit: 'calls' })
}

/** Generates Poisson arrivals in every domain. */
async function runLoad (
  clock: ManualClock, random: RandomService, routers: readonly RouterService[], seconds: number, rateOf: (domain: number) => number
): Promise<ILoadResult> {
  const result: ILoadResult = { latencies: DOMAINS.map(() => []), failures: 0 }
  const end = clock.now() + seconds * SECOND_MS
  for (const [domain, router] of routers.entries()) scheduleArrival(clock, random, router, rateOf(domain), end, result, domain)
  await clock.advance(seconds * SECOND_MS + 2 * SECOND_MS)
  return result
}

function scheduleArrival (
  clock: ManualClock, random: RandomService, router: RouterService, rate: number, end: number, result: ILoadResult, domain: number
): void {
  const gap = -Math.log(1 - random.fraction()) * SECOND_MS / rate
  if (clock.now() + gap >= end) return
  clock.after(gap as Milliseconds, () => {
    scheduleArrival(clock, random, router, rate, end, result, domain)
    const start = clock.now()
    router.route(new FakeRequest(), new RecordingSink(), start).then((outcome) => {
      if (outcome.kind === 'answered' && outcome.status === 200) result.latencies[domain]?.push(clock.now() - start)
      else result.failures++
    })
  })
}

function quantileOf (values: number[], share = 0.99): number {
  const sorted = [...values].sort((left, right) => left - right)
  return Math.round((sorted[Math.floor(sorted.length * share)] ?? 0) * 10) / 10
}
