/** All nodes of a failure domain crash simultaneously, and later restart simultaneously, while documents change. */
import { IMembershipService } from '../src/membership/Services.js'
import type { Fleet } from '../testing/fleet/Fleet.js'
import { BOUNDS } from './Bounds.js'
import { fleetBench } from './fleet/FleetBench.js'
import { SETTLE_TIMEOUT_MS } from './fleet/Sizes.js'
import type { Milliseconds, ServiceName } from '../src/common/Types.js'
import type { FleetNode } from '../testing/fleet/FleetNode.js'
import type { IBenchOptions, IFigure } from './Types.js'

const NODES = 48
const QUICK_NODES = 12
const SERVICES = 12
const CHANGE_PAUSE_MS = 200 as Milliseconds
const DOWNTIME_MS = 5_000 as Milliseconds
const QUICK_DOWNTIME_MS = 1_000 as Milliseconds
const TIMEOUT_MS = 60_000
const FAILED_DOMAIN = 1

/** Submits changes until it is stopped. */
class ChangeLoad {
  public readonly versions = new Map<string, number>()
  private _isStopped = false
  private _task: Promise<void> | undefined

  constructor (private readonly _fleet: Fleet) {}

  public start (): void {
    this._task = this._run()
  }

  public async stop (): Promise<void> {
    this._isStopped = true
    await this._task
  }

  private async _run (): Promise<void> {
    const { nodes, clock, random } = this._fleet
    while (!this._isStopped) {
      const service = `service-${random.integer(SERVICES)}`
      const version = await this._fleet.submit(nodes[random.integer(nodes.length)] as FleetNode, service, this.versions.get(service) ?? 0)
      if (version !== undefined) this.versions.set(service, version)
      await clock.sleep(CHANGE_PAUSE_MS)
    }
  }
}

export const HERD_BENCH = fleetBench('herd', 'All nodes of a failure domain crash at once, and later restart at once, while documents change', run)

async function run (fleet: Fleet, options: IBenchOptions, report: (figure: IFigure) => void): Promise<void> {
  await fleet.add(options.quick ? QUICK_NODES : NODES, (position) => `service-${position % SERVICES}` as ServiceName)
  if (await fleet.until(() => fleet.isSettled, SETTLE_TIMEOUT_MS) === undefined) throw new Error('the fleet did not settle')
  const changes = new ChangeLoad(fleet)
  changes.start()
  const failedNodes = fleet.nodes.filter((node) => node.options.failureDomain === `domain-${FAILED_DOMAIN}`)
  await Promise.all(failedNodes.map((node) => fleet.kill(node)))
  const others = [...fleet.nodes]
  const unreachableAfterMs = await fleet.until(() => others.every((node) => countReachable(node, failedNodes) === 0), TIMEOUT_MS)
  await fleet.clock.sleep(options.quick ? QUICK_DOWNTIME_MS : DOWNTIME_MS)
  fleet.storeFaults.forEach((faults) => faults.resetCounts())
  const startedAt = performance.now()
  await Promise.all(failedNodes.map((node) => fleet.restart(node)))
  const caughtUpAfterMs = await fleet.until(() => fleet.nodes.every((node) => node.isCaughtUp), TIMEOUT_MS)
  await changes.stop()
  const newestAfterMs = await fleet.until(() => haveNewestVersions(fleet, changes), TIMEOUT_MS) === undefined
    ? TIMEOUT_MS
    : performance.now() - startedAt
  const settleDuration = await fleet.until(() => fleet.isSettled, TIMEOUT_MS)
  const settledAfterMs = settleDuration === undefined ? TIMEOUT_MS : performance.now() - startedAt
  report({ name: 'dead-domain-no-first-choice-after', value: unreachableAfterMs ?? TIMEOUT_MS, unit: 'ms', bound: BOUNDS.drainStopMs, direction: 'at-most' })
  report({ name: 'returned-nodes-caught-up-after', value: caughtUpAfterMs ?? TIMEOUT_MS, unit: 'ms' })
  report({ name: 'newest-everywhere-after-return', value: newestAfterMs, unit: 'ms', bound: BOUNDS.convergenceMs, direction: 'at-most' })
  report({ name: 'members-agree-after-return', value: settledAfterMs, unit: 'ms' })
  reportStore(fleet, report)
  report({ name: 'changes-accepted', value: [...changes.versions.values()].reduce((sum, version) => sum + version, 0), unit: 'changes' })
  report({ name: 'breaches', value: fleet.breaches, unit: 'breaches', bound: BOUNDS.none, direction: 'at-most' })
}

/** Adds up the peaks of the store connections of all failure domains; the sum is an upper bound of the actual peak. */
function reportStore (fleet: Fleet, report: (figure: IFigure) => void): void {
  const reads = fleet.storeFaults.reduce((sum, faults) => sum + faults.counts.peakReads, 0)
  const writes = fleet.storeFaults.reduce((sum, faults) => sum + faults.counts.peakWrites, 0)
  report({ name: 'peak-store-reads', value: reads, unit: 'reads/s', bound: BOUNDS.storeReadsPerSecond, direction: 'at-most' })
  report({ name: 'peak-store-writes', value: writes, unit: 'writes/s', bound: BOUNDS.storeWritesPerSecond, direction: 'at-most' })
}

/** Counts endpoints of killed nodes that another node still considers reachable. */
function countReachable (node: FleetNode, killed: readonly FleetNode[]): number {
  const addresses = new Set(killed.map((each) => each.address))
  const services = new Set(killed.map((each) => each.options.service as ServiceName))
  const candidates = [...services].flatMap((service) => node.get(IMembershipService).endpoints(service))
  return candidates.filter((endpoint) => endpoint.isReachable && addresses.has(endpoint.gateAddress)).length
}

function haveNewestVersions (fleet: Fleet, changes: ChangeLoad): boolean {
  return [...changes.versions].every(([service, version]) => {
    return fleet.nodes.every((node) => node.activeVersion(service as ServiceName) >= version)
  })
}
