/** Guards against confirmed changes that come into force too late: frequent changes of a large configuration over slow links. */
import { expect } from 'chai'
import { RandomService } from '../../common/RandomService.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { configurationText, idleRoutes, type IRigRoute } from '../../../testing/mesh/ConfigurationText.js'
import { ViewRegion, type IViewRegionOptions } from '../../../testing/mesh/ViewRegion.js'

const SEED = 18
/** Time within which a confirmed change must be in force: the strictest requirement of any deployment of the users. */
const IN_FORCE_WITHIN_MS = 2_000
/** Bytes per second of the slowest link of a VM, 4.9 Mbit/s. */
const SLOW_LINK_RATE = 612_500
const FAST_LINK_RATE = 12_500_000
const IDLE_ROUTES = 1_140
const FREQUENT_CHANGES = 22
/** Number of changes whose transfer would take seven seconds on a slow link. */
const MISSED_VERSIONS = 36
const CHANGE_INTERVAL_MS = 220
const SETTLE_MS = 8_000 as Milliseconds

/** Starts a region in which all nodes have version 1, with these routes. */
async function startRegion (options: Omit<IViewRegionOptions, 'seed'>, routes: readonly IRigRoute[]): Promise<ViewRegion> {
  const region = new ViewRegion({ seed: SEED, ...options })
  region.configure(configurationText(1, routes))
  await region.start(SETTLE_MS)
  return region
}

/** Adds or replaces a route with each version. Returns the time at which each version was confirmed. */
async function changeRoutes (region: ViewRegion, routes: readonly IRigRoute[], versions: number): Promise<ReadonlyMap<number, Timestamp>> {
  const random = new RandomService(SEED)
  const current = [...routes]
  const confirmed = new Map<number, Timestamp>()
  for (let version = 2; version < 2 + versions; version++) {
    current.splice(random.integer(current.length), version % 2, { prefix: `/added-${version}/`, service: 'idle' })
    confirmed.set(version, region.configure(configurationText(version, current)))
    await region.clock.advance(CHANGE_INTERVAL_MS)
  }
  return confirmed
}

/** Time from the confirmation of a configuration with `added` more routes until it is in force at all nodes. */
async function measureGrowth (nodes: number, added: number): Promise<number> {
  const routes = idleRoutes(IDLE_ROUTES + added, new RandomService(SEED))
  const region = await startRegion({ nodes, linkRate: FAST_LINK_RATE }, routes.slice(0, IDLE_ROUTES))
  const confirmed = new Map([[2, region.configure(configurationText(2, routes))]])
  await region.clock.advance(SETTLE_MS)
  return region.longestDelay(confirmed)
}

describe('Latency of changes of a large configuration', () => {
  const routes = idleRoutes(IDLE_ROUTES, new RandomService(SEED))

  it('brings frequent changes into force in time at all nodes of a region with slow links', async () => {
    const region = await startRegion({ nodes: 22, linkRate: SLOW_LINK_RATE }, routes)
    const confirmed = await changeRoutes(region, routes, FREQUENT_CHANGES)
    await region.clock.advance(SETTLE_MS)
    expect(region.longestDelay(confirmed)).to.be.below(IN_FORCE_WITHIN_MS)
  })

  it('brings the newest version into force in time at a node that was partitioned and missed many versions', async () => {
    const region = await startRegion({ nodes: 3, linkRate: SLOW_LINK_RATE }, routes)
    const [node] = region.nodes
    if (node === undefined) throw new Error('no node')
    region.isolate(node)
    await changeRoutes(region, routes, MISSED_VERSIONS)
    const newest = MISSED_VERSIONS + 1
    expect(node.configuration.version).to.be.below(newest)
    region.reconnect(node)
    const returned = new Map([[newest, region.clock.now()]])
    await region.clock.advance(SETTLE_MS)
    expect(region.longestDelay(returned, [node])).to.be.below(IN_FORCE_WITHIN_MS)
  })

  it('brings a configuration into force in time that grows by 3,000 routes at once', async () => {
    expect(await measureGrowth(22, 3_000)).to.be.below(IN_FORCE_WITHIN_MS)
  })

  it('brings a configuration into force in time that is too large to be sent from node to node', async () => {
    expect(await measureGrowth(3, 40_000)).to.be.below(IN_FORCE_WITHIN_MS)
  })
})
