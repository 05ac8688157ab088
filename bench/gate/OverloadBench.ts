/** Goodput and shedding from half to four times the capacity of the slots. */
import { Pool } from 'undici'
import { RandomService } from '../../src/common/RandomService.js'
import { GateFleet, pause, quantile, startAtRate } from '../../testing/gate/GateFleet.js'
import { UpstreamStandIn } from '../../testing/upstream/UpstreamStandIn.js'
import { BOUNDS } from '../Bounds.js'
import type { IBench, IBenchOptions, IFigure } from '../Types.js'
import { capacityOf, DEPLOYMENTS, type IDeployment } from './Deployments.js'

const DEADLINE_MS = 800
const LOADS = [0.5, 1, 2, 4]
const WARM_UP_MS = 1_000
const DURATION_MS = 5_000
const QUICK_DURATION_MS = 1_500
/** Shares of the offered requests. */
const CRITICAL_SHARE = 0.2
const NORMAL_SHARE = 0.3
const BASELINE_ATTEMPTS = 3

type Sender = (kind: string) => Promise<boolean>

/** Requests by class: offered, answered within the deadline, and their times. */
class Tally {
  public readonly offered = { critical: 0, normal: 0, background: 0 }
  public readonly good = { critical: 0, normal: 0, background: 0 }
  public readonly criticalTimes: number[] = []

  public get allGood (): number {
    return this.good.critical + this.good.normal + this.good.background
  }
}

type Kind = keyof Tally['offered']

/** Offers requests at a rate and counts those that are answered in time. */
async function offer (rate: number, durationMs: number, random: RandomService, send: Sender): Promise<Tally> {
  const tally = new Tally()
  const pending: Array<Promise<void>> = []
  await startAtRate(rate, durationMs, random, () => {
    const draw = random.fraction()
    const kind: Kind = draw < CRITICAL_SHARE ? 'critical' : draw < CRITICAL_SHARE + NORMAL_SHARE ? 'normal' : 'background'
    tally.offered[kind]++
    const startedAt = performance.now()
    pending.push(send(kind).then((isAnswered) => {
      const elapsed = performance.now() - startedAt
      if (isAnswered && elapsed <= DEADLINE_MS) tally.good[kind]++
      if (isAnswered && kind === 'critical') tally.criticalTimes.push(elapsed)
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

/** Runs every load against one way and reports its figures. */
async function measureLoads (
  deployment: IDeployment, options: IBenchOptions, prefix: string, isBound: boolean, send: Sender, report: (figure: IFigure) => void
): Promise<void> {
  const random = new RandomService(options.seed)
  const capacity = capacityOf(deployment)
  const durationMs = options.quick ? QUICK_DURATION_MS : DURATION_MS
  await offer(capacity / 2, WARM_UP_MS, random, send)
  for (const load of LOADS) {
    const tally = await offer(capacity * load, durationMs, random, send)
    const offered = tally.offered.critical + tally.offered.normal + tally.offered.background
    const possible = Math.min(offered, capacity * durationMs / 1_000)
    const name = `${prefix}${deployment.name} x${load}`
    const goodputBound = isBound ? { bound: BOUNDS.goodputPercent, direction: 'at-least' as const } : {}
    report({ name: `${name} goodput`, value: percent(tally.allGood, possible), unit: '% of capacity or offer', ...goodputBound })
    const timeBound = isBound ? { bound: DEADLINE_MS, direction: 'at-most' as const } : {}
    report({ name: `${name} critical p99`, value: Math.round(quantile(tally.criticalTimes, 0.99)), unit: 'ms', ...timeBound })
    for (const kind of ['critical', 'normal', 'background'] as const) {
      report({ name: `${name} ${kind} answered`, value: percent(tally.good[kind], tally.offered[kind]), unit: '%' })
    }
    await pause(500)
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
      const breaches = await withGates(deployment, options.seed, (send) => measureLoads(deployment, options, '', true, send, report))
      report({ name: `${deployment.name} invariant breaches`, value: breaches, unit: 'breaches', bound: BOUNDS.none, direction: 'at-most' })
      if (!options.baseline) continue
      const random = new RandomService(options.seed)
      await withRandomBalancing(deployment, random, (send) => measureLoads(deployment, options, 'baseline ', false, send, report))
    }
  }
}
