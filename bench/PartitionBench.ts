/** Cuts between failure domains and from the store, in random order, and how soon all agree after they heal. */
import { IMembershipService } from '../src/membership/Services.js'
import type { Fleet } from '../testing/fleet/Fleet.js'
import { BOUNDS } from './Bounds.js'
import { fleetBench } from './fleet/FleetBench.js'
import { SETTLE_LIMIT_MS } from './fleet/Sizes.js'
import type { Milliseconds, ServiceName } from '../src/common/Types.js'
import type { FleetNode } from '../testing/fleet/FleetNode.js'
import type { IBenchOptions, IFigure } from './Types.js'

const NODES = 24
const QUICK_NODES = 12
const ROUNDS = 6
const QUICK_ROUNDS = 1
const SERVICES = 6
const LEAST_CUT_MS = 4_000
const CUT_SPREAD_MS = 6_000
const QUICK_CUT_SPREAD_MS = 1_000
const LIMIT_MS = 30_000

/** What one round saw. */
interface IRound {
  readonly healedAfter: number
  /** Nodes that offered no endpoint of their own failure domain at some time during the cut. */
  readonly starved: number
  /** Changes accepted through nodes that reach the store, by those in force in their own part before the cut healed. */
  readonly accepted: number
}

export const PARTITION_BENCH = fleetBench('partition', 'Failure domains are cut from each other and from the store, and heal', run)

async function run (fleet: Fleet, options: IBenchOptions, report: (figure: IFigure) => void): Promise<void> {
  // Every node of a failure domain has an endpoint of the same service, so each part has endpoints of its own.
  await fleet.add(options.quick ? QUICK_NODES : NODES, (position) => `service-${position % fleet.domains}` as ServiceName)
  if (await fleet.until(() => fleet.isSettled, SETTLE_LIMIT_MS) === undefined) throw new Error('the fleet did not settle')
  const versions = new Map<string, number>()
  const rounds: IRound[] = []
  for (let round = 0; round < (options.quick ? QUICK_ROUNDS : ROUNDS); round++) {
    rounds.push(await runRound(fleet, versions, options.quick ? QUICK_CUT_SPREAD_MS : CUT_SPREAD_MS))
  }
  const worst = Math.max(...rounds.map((round) => round.healedAfter))
  report({ name: 'agreed-after-healing-max', value: worst, unit: 'ms', bound: BOUNDS.convergenceMs, direction: 'at-most' })
  report({ name: 'nodes-without-own-endpoints', value: sum(rounds.map((round) => round.starved)), unit: 'nodes', bound: BOUNDS.none, direction: 'at-most' })
  report({ name: 'changes-during-cuts', value: sum(rounds.map((round) => round.accepted)), unit: 'changes' })
  report({ name: 'rounds', value: rounds.length, unit: 'rounds' })
  report({ name: 'breaches', value: fleet.breaches, unit: 'breaches', bound: BOUNDS.none, direction: 'at-most' })
}

async function runRound (fleet: Fleet, versions: Map<string, number>, spread: number): Promise<IRound> {
  cutAtRandom(fleet)
  const accepted = await changeDuringCut(fleet, versions, spread)
  const starved = fleet.nodes.filter((node) => !servesOwnPart(node)).length
  fleet.heal()
  const holds = (): boolean => fleet.isSettled && fleet.nodes.every((node) => reachesAll(fleet, node)) && holdsNewest(fleet, versions)
  return { healedAfter: await fleet.until(holds, LIMIT_MS) ?? LIMIT_MS, starved, accepted }
}

/** Cuts one or two failure domains off, and with even chance one from the store. */
function cutAtRandom (fleet: Fleet): void {
  const { random, domains } = fleet
  const count = 1 + random.integer(2)
  for (let cut = 0; cut < count; cut++) fleet.cutDomain(random.integer(domains))
  if (random.integer(2) === 0) fleet.cutStore(random.integer(domains))
}

/** Submits through any node; one that is cut off from the store may fail. */
async function changeDuringCut (fleet: Fleet, versions: Map<string, number>, spread: number): Promise<number> {
  const { random, clock, nodes } = fleet
  const end = clock.now() + LEAST_CUT_MS + random.integer(spread)
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

/** Whether the node offers an endpoint of its own failure domain. */
function servesOwnPart (node: FleetNode): boolean {
  const service = node.options.service as ServiceName
  return node.get(IMembershipService).endpoints(service).some((endpoint) => endpoint.isReachable)
}

/** Whether the node takes every endpoint of the fleet for reachable. */
function reachesAll (fleet: Fleet, node: FleetNode): boolean {
  return fleet.nodes.every((other) => {
    const endpoints = node.get(IMembershipService).endpoints(other.options.service as ServiceName)
    return endpoints.some((endpoint) => endpoint.isReachable && endpoint.gateAddress === other.address)
  })
}

function holdsNewest (fleet: Fleet, versions: ReadonlyMap<string, number>): boolean {
  return [...versions].every(([service, version]) => {
    return fleet.nodes.every((node) => node.versionInForce(service as ServiceName) >= version)
  })
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
