/** Random partitions between failure domains and from the store, and the time until all nodes converge after healing. */
import { IMembershipService } from '../src/membership/Services.js'
import type { Fleet } from '../testing/fleet/Fleet.js'
import { BOUNDS } from './Bounds.js'
import { fleetBench } from './fleet/FleetBench.js'
import { SETTLE_TIMEOUT_MS } from './fleet/Sizes.js'
import type { Milliseconds, ServiceName } from '../src/common/Types.js'
import type { FleetNode } from '../testing/fleet/FleetNode.js'
import type { IBenchOptions, IFigure } from './Types.js'

const NODES = 24
const QUICK_NODES = 12
const ROUNDS = 6
const QUICK_ROUNDS = 1
const SERVICES = 6
const MINIMUM_CUT_MS = 4_000
const CUT_SPREAD_MS = 6_000
const QUICK_CUT_SPREAD_MS = 1_000
const HEALING_TIMEOUT_MS = 30_000

/** Results of one round. */
interface IRound {
  readonly convergedAfterMs: number
  /** Number of nodes that saw no reachable endpoint in their own failure domain at the end of the partition. */
  readonly withoutOwnEndpoint: number
  /** Number of changes that were accepted during the partition, through nodes that could reach the store. */
  readonly accepted: number
}

export const PARTITION_BENCH = fleetBench('partition', 'Partitions between failure domains and from the store, and the recovery after healing', run)

async function run (fleet: Fleet, options: IBenchOptions, report: (figure: IFigure) => void): Promise<void> {
  // All nodes of a failure domain have an endpoint of the same service, so that each partition contains endpoints of its services.
  await fleet.add(options.quick ? QUICK_NODES : NODES, (position) => `service-${position % fleet.domains}` as ServiceName)
  if (await fleet.until(() => fleet.isSettled, SETTLE_TIMEOUT_MS) === undefined) throw new Error('the fleet did not settle')
  const versions = new Map<string, number>()
  const rounds: IRound[] = []
  for (let round = 0; round < (options.quick ? QUICK_ROUNDS : ROUNDS); round++) {
    rounds.push(await runRound(fleet, versions, options.quick ? QUICK_CUT_SPREAD_MS : CUT_SPREAD_MS))
  }
  const worst = Math.max(...rounds.map((round) => round.convergedAfterMs))
  report({ name: 'agreed-after-healing-max', value: worst, unit: 'ms', bound: BOUNDS.convergenceMs, direction: 'at-most' })
  report({ name: 'nodes-without-own-endpoints', value: sum(rounds.map((round) => round.withoutOwnEndpoint)), unit: 'nodes', bound: BOUNDS.none, direction: 'at-most' })
  report({ name: 'changes-during-cuts', value: sum(rounds.map((round) => round.accepted)), unit: 'changes' })
  report({ name: 'rounds', value: rounds.length, unit: 'rounds' })
  report({ name: 'breaches', value: fleet.breaches, unit: 'breaches', bound: BOUNDS.none, direction: 'at-most' })
}

async function runRound (fleet: Fleet, versions: Map<string, number>, spread: number): Promise<IRound> {
  cutAtRandom(fleet)
  const accepted = await submitDuringCut(fleet, versions, spread)
  const withoutOwnEndpoint = fleet.nodes.filter((node) => !hasOwnEndpoint(node)).length
  fleet.heal()
  const hasConverged = (): boolean =>
    fleet.isSettled && fleet.nodes.every((node) => hasAllEndpoints(fleet, node)) && haveNewestVersions(fleet, versions)
  return { convergedAfterMs: await fleet.until(hasConverged, HEALING_TIMEOUT_MS) ?? HEALING_TIMEOUT_MS, withoutOwnEndpoint, accepted }
}

/** Partitions one or two failure domains from the others and, with probability 0.5, one from the store. */
function cutAtRandom (fleet: Fleet): void {
  const { random, domains } = fleet
  const count = 1 + random.integer(2)
  for (let cut = 0; cut < count; cut++) fleet.cutDomain(random.integer(domains))
  if (random.integer(2) === 0) fleet.cutStore(random.integer(domains))
}

/** Submits changes through random nodes; submissions may fail at nodes that cannot reach the store. */
async function submitDuringCut (fleet: Fleet, versions: Map<string, number>, spread: number): Promise<number> {
  const { random, clock, nodes } = fleet
  const end = clock.now() + MINIMUM_CUT_MS + random.integer(spread)
  let accepted = 0
  while (clock.now() < end) {
    const service = `service-${random.integer(SERVICES)}`
    const node = nodes[random.integer(nodes.length)] as FleetNode
    const version = await fleet.submit(node, service, versions.get(service) ?? 0).catch(() => undefined)
    if (version !== undefined) {
      versions.set(service, version)
      accepted++
    }
    await clock.sleep(500 as Milliseconds)
  }
  return accepted
}

/** Whether the node sees a reachable endpoint of its own service, which is the service of its failure domain. */
function hasOwnEndpoint (node: FleetNode): boolean {
  const service = node.options.service as ServiceName
  return node.get(IMembershipService).endpoints(service).some((endpoint) => endpoint.isReachable)
}

/** Whether the node sees every endpoint of the fleet as reachable. */
function hasAllEndpoints (fleet: Fleet, node: FleetNode): boolean {
  return fleet.nodes.every((other) => {
    const endpoints = node.get(IMembershipService).endpoints(other.options.service as ServiceName)
    return endpoints.some((endpoint) => endpoint.isReachable && endpoint.gateAddress === other.address)
  })
}

function haveNewestVersions (fleet: Fleet, versions: ReadonlyMap<string, number>): boolean {
  return [...versions].every(([service, version]) => {
    return fleet.nodes.every((node) => node.activeVersion(service as ServiceName) >= version)
  })
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
