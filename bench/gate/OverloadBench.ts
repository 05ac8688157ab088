/** Goodput and shedding from half to four times the capacity of the slots. */
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
/** Load before the part that is measured. */
const RAMP_MS = 700
const DURATION_MS = 5_000
const QUICK_DURATION_MS = 1_500
/** Shares of the offered requests. */
const CRITICAL_SHARE = 0.2
const NORMAL_SHARE = 0.3
const BASELINE_ATTEMPTS = 3

/** What is measured, and how it is reported. */
interface IWay {
  readonly deployment: IDeployment
  readonly options: IBenchOptions
  readonly prefix: string
  readonly isBound: boolean
  readonly report: (figure: IFigure) => void
}

type Sender = (kind: string) => Promise<boolean>

/** Requests by class: offered, answered within the deadline, and the times of the critical ones. */
class Tally {
  public readonly offered = { critical: 0, normal: 0, background: 0 }
  public readonly good = { critical: 0, normal: 0, background: 0 }
  public readonly criticalTimes: number[] = []
  /** Good answers that came while the measured requests were offered. */
  public goodInTime = 0
}

type Kind = keyof Tally['offered']

/** Offers requests at a rate; counts those that are offered, and those that are answered, after the ramp. */
async function offer (rate: number, durationMs: number, random: RandomService, send: Sender): Promise<Tally> {
  const tally = new Tally()
  const pending: Array<Promise<void>> = []
  const begin = performance.now() + RAMP_MS
  const end = begin + durationMs
  await startAtRate(rate, RAMP_MS + durationMs, random, () => {
    const draw = random.fraction()
    const kind: Kind = draw < CRITICAL_SHARE ? 'critical' : draw < CRITICAL_SHARE + NORMAL_SHARE ? 'normal' : 'background'
    const startedAt = performance.now()
    const isMeasured = startedAt >= begin
    if (isMeasured) tally.offered[kind]++
    pending.push(send(kind).then((isAnswered) => {
      const now = performance.now()
      const isGood = isAnswered && now - startedAt <= DEADLINE_MS
      if (isGood && now >= begin && now <= end) tally.goodInTime++
      if (isGood && isMeasured) tally.good[kind]++
      if (isAnswered && isMeasured && kind === 'critical') tally.criticalTimes.push(now - startedAt)
    }))
  })
  await Promise.all(pending)
  return tally
}

const PATHS: Readonly<Record<string, string>> = Object.freeze({ critical: '/read/a', normal: '/file/a', background: '/poll/a' })

/** Through router and gates. */
async function withGates (deployment: IDeployment, seed: number, measure: (send: Sender) => Promise<void>): Promise<number> {
  const fleet = await new GateFleet({
    seed,
    gates: deployment.endpoints,
    announcementDelayMs: 100,
    rig: { upstream: deployment.upstream, document: { service: deployment.service, pool: deployment.pool, deadlineMs: DEADLINE_MS } }
  }).start()
  await measure(async (kind) => (await fleet.call(PATHS[kind] ?? '/')).outcome.kind === 'answered')
  await fleet.stop()
  return fleet.breaches
}

/** Straight to an upstream chosen at random, without limits, tried three times at once. */
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

/** Offers one load by one way and reports its figures. */
async function measureLoad (load: number, way: IWay, send: Sender): Promise<void> {
  const { deployment, options, prefix, isBound, report } = way
  const capacity = capacityOf(deployment)
  const durationMs = options.quick ? QUICK_DURATION_MS : DURATION_MS
  const tally = await offer(capacity * load, durationMs, new RandomService(options.seed), send)
  const offered = tally.offered.critical + tally.offered.normal + tally.offered.background
  const possible = Math.min(offered, capacity * durationMs / 1_000)
  const name = `${prefix}${deployment.name} x${load}`
  const goodput = isBound ? { bound: BOUNDS.goodputPercent, direction: 'at-least' as const } : {}
  const time = isBound ? { bound: DEADLINE_MS, direction: 'at-most' as const } : {}
  report({ name: `${name} goodput`, value: percent(tally.goodInTime, possible), unit: '% of capacity or offer', ...goodput })
  report({ name: `${name} critical p99`, value: Math.round(quantile(tally.criticalTimes, 0.99)), unit: 'ms', ...time })
  for (const kind of ['critical', 'normal', 'background'] as const) {
    report({ name: `${name} ${kind} answered`, value: percent(tally.good[kind], tally.offered[kind]), unit: '%' })
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
        const way: IWay = { deployment, options, prefix: '', isBound: true, report }
        breaches += await withGates(deployment, options.seed, (send) => measureLoad(load, way, send))
        if (!options.baseline) continue
        const baseline: IWay = { ...way, prefix: 'baseline ', isBound: false }
        await withRandomBalancing(deployment, new RandomService(options.seed), (send) => measureLoad(load, baseline, send))
      }
      report({ name: `${deployment.name} invariant breaches`, value: breaches, unit: 'breaches', bound: BOUNDS.none, direction: 'at-most' })
    }
  }
}
