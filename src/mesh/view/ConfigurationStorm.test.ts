/** Confirmed changes that were not in force in time: storms of changes of a large configuration, over narrow links. */
import { expect } from 'chai'
import { RandomService } from '../../common/RandomService.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { configurationText, idleRoutes } from '../../../testing/mesh/ConfigurationText.js'
import { ViewRegion } from '../../../testing/mesh/ViewRegion.js'

const SEED = 18
/** The shortest time of the users' deployments within which a confirmed change must be in force. */
const IN_FORCE_WITHIN_MS = 2_000
/** The narrowest link of a VM, 4.9 Mbit/s. */
const NARROW_LINK = 612_500
const WIDE_LINK = 12_500_000
const IDLE_ROUTES = 1_140
const STORM_VERSIONS = 22
const STORM_INTERVAL_MS = 220
const SETTLE_MS = 8_000 as Milliseconds

/** Time from the confirmation of each version until every node had it or a newer one; the longest. */
function longestDelay (region: ViewRegion, confirmed: ReadonlyMap<number, Timestamp>): number {
  let longest = 0
  for (const { applied } of region.nodes) {
    for (const [version, at] of confirmed) {
      const inForce = Math.min(...[...applied].filter(([candidate]) => candidate >= version).map(([, time]) => time))
      longest = Math.max(longest, inForce - at)
    }
  }
  return longest
}

async function playStorm (region: ViewRegion): Promise<number> {
  const random = new RandomService(SEED)
  const routes = idleRoutes(IDLE_ROUTES, random)
  region.configure(configurationText(1, routes))
  await region.start(SETTLE_MS)
  const confirmed = new Map<number, Timestamp>()
  for (let version = 2; version < 2 + STORM_VERSIONS; version++) {
    const position = random.integer(routes.length)
    routes.splice(position, version % 2, { prefix: `/added-${version}/`, service: 'idle' })
    confirmed.set(version, region.configure(configurationText(version, routes)))
    await region.clock.advance(STORM_INTERVAL_MS)
  }
  await region.clock.advance(SETTLE_MS)
  return longestDelay(region, confirmed)
}

/** A configuration that becomes larger by `added` routes at once. */
async function playGrowth (nodes: number, added: number): Promise<number> {
  const region = new ViewRegion({ seed: SEED, nodes, linkRate: WIDE_LINK })
  const random = new RandomService(SEED)
  const routes = idleRoutes(IDLE_ROUTES, random)
  region.configure(configurationText(1, routes))
  await region.start(SETTLE_MS)
  const confirmed = new Map([[2, region.configure(configurationText(2, [...routes, ...idleRoutes(added, random)]))]])
  await region.clock.advance(SETTLE_MS)
  return longestDelay(region, confirmed)
}

describe('Storm of changes of a large configuration', () => {
  it('is in force in time at every node of a region whose reader has a narrow link', async () => {
    const region = new ViewRegion({ seed: SEED, nodes: 22, linkRate: NARROW_LINK })
    expect(await playStorm(region)).to.be.below(IN_FORCE_WITHIN_MS)
  })

  it('is in force in time also when it grows by many routes at once', async () => {
    expect(await playGrowth(22, 3_000)).to.be.below(IN_FORCE_WITHIN_MS)
  })

  it('is in force in time also when it is too large to be passed between nodes', async () => {
    expect(await playGrowth(3, 40_000)).to.be.below(IN_FORCE_WITHIN_MS)
  })
})
