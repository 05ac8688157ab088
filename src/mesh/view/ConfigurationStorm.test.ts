/** Confirmed changes that were not in force in time: storms of changes of a large configuration, over narrow links. */
import { expect } from 'chai'
import { RandomService } from '../../common/RandomService.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { configurationText, idleRoutes, type IRigRoute } from '../../../testing/mesh/ConfigurationText.js'
import { ViewRegion, type IViewRegionOptions } from '../../../testing/mesh/ViewRegion.js'

const SEED = 18
/** The shortest time of the users' deployments within which a confirmed change must be in force. */
const IN_FORCE_WITHIN_MS = 2_000
/** The narrowest link of a VM, 4.9 Mbit/s. */
const NARROW_LINK = 612_500
const WIDE_LINK = 12_500_000
const IDLE_ROUTES = 1_140
const STORM_VERSIONS = 22
/** Changes that would take a narrow link seven seconds. */
const MISSED_VERSIONS = 36
const STORM_INTERVAL_MS = 220
const SETTLE_MS = 8_000 as Milliseconds

/** A region whose nodes all hold version 1, with these routes. */
async function startRegion (options: Omit<IViewRegionOptions, 'seed'>, routes: readonly IRigRoute[]): Promise<ViewRegion> {
  const region = new ViewRegion({ seed: SEED, ...options })
  region.configure(configurationText(1, routes))
  await region.start(SETTLE_MS)
  return region
}

/** Changes one route after the other. Returns when each version was confirmed. */
async function playStorm (region: ViewRegion, routes: readonly IRigRoute[], versions: number): Promise<ReadonlyMap<number, Timestamp>> {
  const random = new RandomService(SEED)
  const present = [...routes]
  const confirmed = new Map<number, Timestamp>()
  for (let version = 2; version < 2 + versions; version++) {
    present.splice(random.integer(present.length), version % 2, { prefix: `/added-${version}/`, service: 'idle' })
    confirmed.set(version, region.configure(configurationText(version, present)))
    await region.clock.advance(STORM_INTERVAL_MS)
  }
  return confirmed
}

/** Time from a configuration that is larger by `added` routes until it was in force everywhere. */
async function playGrowth (nodes: number, added: number): Promise<number> {
  const routes = idleRoutes(IDLE_ROUTES + added, new RandomService(SEED))
  const region = await startRegion({ nodes, linkRate: WIDE_LINK }, routes.slice(0, IDLE_ROUTES))
  const confirmed = new Map([[2, region.configure(configurationText(2, routes))]])
  await region.clock.advance(SETTLE_MS)
  return region.longestDelay(confirmed)
}

describe('Storm of changes of a large configuration', () => {
  const routes = idleRoutes(IDLE_ROUTES, new RandomService(SEED))

  it('is in force in time at every node of a region whose reader has a narrow link', async () => {
    const region = await startRegion({ nodes: 22, linkRate: NARROW_LINK }, routes)
    const confirmed = await playStorm(region, routes, STORM_VERSIONS)
    await region.clock.advance(SETTLE_MS)
    expect(region.longestDelay(confirmed)).to.be.below(IN_FORCE_WITHIN_MS)
  })

  it('is in force in time at a node that returns from a cut, however many versions it missed', async () => {
    const region = await startRegion({ nodes: 3, linkRate: NARROW_LINK }, routes)
    const [node] = region.nodes
    if (node === undefined) throw new Error('no node')
    region.cutOff(node)
    await playStorm(region, routes, MISSED_VERSIONS)
    const newest = MISSED_VERSIONS + 1
    expect(node.configuration.version).to.be.below(newest)
    region.reconnect(node)
    const returned = new Map([[newest, region.clock.now()]])
    await region.clock.advance(SETTLE_MS)
    expect(region.longestDelay(returned, [node])).to.be.below(IN_FORCE_WITHIN_MS)
  })

  it('is in force in time also when it grows by many routes at once', async () => {
    expect(await playGrowth(22, 3_000)).to.be.below(IN_FORCE_WITHIN_MS)
  })

  it('is in force in time also when it is too large to be passed between nodes', async () => {
    expect(await playGrowth(3, 40_000)).to.be.below(IN_FORCE_WITHIN_MS)
  })
})
