/** Goodput and load shedding at loads from half to four times the capacity of the slots. */
import { Pool } from 'undici'
import { RandomService } from '../../src/common/RandomService.js'
import { GateFleet, quantile, startAtRate } from '../../testing/gate/GateFleet.js'
import { UpstreamStandIn } from '../../testing/upstream/UpstreamStandIn.js'
import { BOUNDS } from '../Bounds.js'
import type { IBench, IBenchOptions, IFigure } from '../Types.js'
import { capacityOf, DEPLOYMENTS, type IDeployment } from './Deployments.js'

const DEADLINE_MS = 800
const LOADS = [0.5, 1, 2, 4]
const QUICK_LOADS = [1, 4]
/** Duration of the load before the measurement starts. */
const RAMP_MS = 700
const DURATION_MS = 5_000
const QUICK_DURATION_MS = 1_500
/** Shares of critical and normal requests; the rest are background requests. */
const CRITICAL_SHARE = 0.2
const NORMAL_SHARE = 0.3
const BASELINE_ATTEMPTS = 3

/** Deployment and options of a measurement, and how it is reported. */
interface IMeasurement {
  readonly deployment: IDeployment
  readonly options: IBenchOptions
  readonly prefix: string
  readonly hasBounds: boolean
  readonly report: (figure: IFigure) => void
}

type Sender = (requestClass: string) => Promise<boolean>

/** Counts of requests by class: offered, and answered within the deadline; latencies of critical requests. */
class Tally {
  public readonly offered = { critical: 0, normal: 0, background: 0 }
  public readonly good = { critical: 0, normal: 0, background: 0 }
  public readonly criticalTimes: number[] = []
  /** Responses within the deadline that arrived while the measured requests were offered. */
  public goodWhileMeasured = 0
}

type RequestClass = keyof Tally['offered']

/** Offers requests at a rate; after the ramp, counts the requests that are offered and those that are answered. */
async function offer (rate: number, durationMs: number, random: RandomService, send: Sender): Promise<Tally> {
  const tally = new Tally()
  const pending: Array<Promise<void>> = []
  const measuredFrom = performance.now() + RAMP_MS
  const measuredUntil = measuredFrom + durationMs
  await startAtRate(rate, RAMP_MS + durationMs, random, () => {
    const draw = random.fraction()
    const requestClass: RequestClass = draw < CRITICAL_SHARE ? 'critical' : draw < CRITICAL_SHARE + NORMAL_SHARE ? 'normal' : 'background'
    const startedAt = performance.now()
    const isMeasured = startedAt >= measuredFrom
    if (isMeasured) tally.offered[requestClass]++
    pending.push(send(requestClass).then((isAnswered) => {
      const now = performance.now()
      const isGood = isAnswered && now - startedAt <= DEADLINE_MS
      if (isGood && now >= measuredFrom && now <= measuredUntil) tally.goodWhileMeasured++
      if (isGood && isMeasured) tally.good[requestClass]++
      if (isAnswered && isMeasured && requestClass === 'critical') tally.criticalTimes.push(now - startedAt)
    }))
  })
  await Promise.all(pending)
  return tally
}

const PATHS: Readonly<Record<string, string>> = Object.freeze({ critical: '/read/a', normal: '/file/a', background: '/poll/a' })

/** Sends requests through the router and the gates. */
async function withGates (deployment: IDeployment, seed: number, measure: (send: Sender) => Promise<void>): Promise<number> {
  const fleet = await new GateFleet({
    seed,
    gates: deployment.endpoints,
    announcementDelayMs: 100,
    rig: { upstream: deployment.upstream, document: { service: deployment.service, pool: deployment.pool, deadlineMs: DEADLINE_MS } }
  }).start()
  await measure(async (requestClass) => (await fleet.call(PATHS[requestClass] ?? '/')).outcome.kind === 'answered')
  await fleet.stop()
  return fleet.breaches
}

/** Baseline: sends requests directly to random upstreams, without limits, with up to three immediate attempts. */
async function withRandomBalancing (
  deployment: IDeployment, random: RandomService, measure: (send: Sender) => Promise<void>
): Promise<void> {
  const upstreams = await Promise.all(Array.from({ length: deployment.endpoints }, async () => {
    const upstream = new UpstreamStandIn(deployment.upstream)
    await upstream.start()
    return upstream
  }))
  const pools = upstreams.map(({ address }) => new Pool(`http://${address}`, { connections: deployment.pool.connections }))
  await measure(async () => {
    for (let attempt = 0; attempt < BASELINE_ATTEMPTS; attempt++) {
      const pool = pools[random.integer(pools.length)] as Pool
      const isAnswered = await pool.request({ path: '/a', method: 'GET', signal: AbortSignal.timeout(DEADLINE_MS) })
        .then(async ({ body }) => { await body.dump() }).then(() => true, () => false)
      if (isAnswered) return true
    }
    return false
  })
  await Promise.all(pools.map((pool) => pool.destroy()))
  for (const upstream of upstreams) upstream.kill()
}

/** Offers one load and reports its figures. */
async function measureLoad (load: number, measurement: IMeasurement, send: Sender): Promise<void> {
  const { deployment, options, prefix, hasBounds, report } = measurement
  const capacity = capacityOf(deployment)
  const durationMs = options.quick ? QUICK_DURATION_MS : DURATION_MS
  const tally = await offer(capacity * load, durationMs, new RandomService(options.seed), send)
  const offered = tally.offered.critical + tally.offered.normal + tally.offered.background
  const possible = Math.min(offered, capacity * durationMs / 1_000)
  const name = `${prefix}${deployment.name} x${load}`
  const goodput = hasBounds ? { bound: BOUNDS.goodputPercent, direction: 'at-least' as const } : {}
  const time = hasBounds ? { bound: DEADLINE_MS, direction: 'at-most' as const } : {}
  report({ name: `${name} goodput`, value: percent(tally.goodWhileMeasured, possible), unit: '% of capacity or offer', ...goodput })
  report({ name: `${name} critical p99`, value: Math.round(quantile(tally.criticalTimes, 0.99)), unit: 'ms', ...time })
  for (const requestClass of ['critical', 'normal', 'background'] as const) {
    report({ name: `${name} ${requestClass} answered`, value: percent(tally.good[requestClass], tally.offered[requestClass]), unit: '%' })
  }
}

function percent (part: number, whole: number): number {
  return Math.round(part / whole * 1_000) / 10
}

/** Overload benchmark. */
export const OVERLOAD_BENCH: IBench = {
  name: 'overload',
  summary: 'Goodput and critical requests from half to four times the capacity; baseline: random balancing without limits, naive retries',
  run: async (options, report) => {
    for (const deployment of DEPLOYMENTS) {
      let breaches = 0
      for (const load of options.quick ? QUICK_LOADS : LOADS) {
        const measurement: IMeasurement = { deployment, options, prefix: '', hasBounds: true, report }
        breaches += await withGates(deployment, options.seed, (send) => measureLoad(load, measurement, send))
        if (!options.baseline) continue
        const baseline: IMeasurement = { ...measurement, prefix: 'baseline ', hasBounds: false }
        await withRandomBalancing(deployment, new RandomService(options.seed), (send) => measureLoad(load, baseline, send))
      }
      report({ name: `${deployment.name} invariant breaches`, value: breaches, unit: 'breaches', bound: BOUNDS.none, direction: 'at-most' })
    }
  }
}
