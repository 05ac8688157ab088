/** Nodes that cannot read the store search for a node that can. The search must be quick if there is one, and cheap if there is none. */
import { expect } from 'chai'
import type { Milliseconds } from '../../common/Types.js'
import { configurationText } from '../../../testing/mesh/ConfigurationText.js'
import { ViewRegion } from '../../../testing/mesh/ViewRegion.js'

const SEED = 13
const SEEDS = 10
const NODES = 30
const LINK_RATE = 12_500_000
const SETTLE_MS = 8_000 as Milliseconds
const OUTAGE_SECONDS = 20
/** Maximum rate of opened links: a node may use 6 KB/s for control traffic, and opening a connection and requesting a view takes 4 KB. */
const MAXIMUM_LINKS_PER_NODE_AND_SECOND = 1.5
/** Time within which a confirmed change must be in force: the strictest requirement of any deployment of the users. */
const IN_FORCE_WITHIN_MS = 2_000
/** Durations in which no node can read the store, before one node can again. */
const OUTAGES_MS = [0, 2_000, 8_000] as Milliseconds[]
/** Slightly longer than the longest backoff of a node between two failed reads of the store. */
const RECONNECT_MS = 1_700 as Milliseconds
const ROUTES = Object.freeze([{ prefix: '/a/', service: 'one' }])

async function startRegion (seed: number, nodes: number): Promise<ViewRegion> {
  const region = new ViewRegion({ seed, nodes, linkRate: LINK_RATE })
  region.configure(configurationText(1, ROUTES))
  await region.start(SETTLE_MS)
  return region
}

/** Makes the store unreachable for all nodes except those given. */
function makeStoreUnreachable (region: ViewRegion, except: readonly unknown[] = []): void {
  for (const node of region.nodes) node.feed.isReachable = except.includes(node)
}

function linksOpened (region: ViewRegion): number {
  return region.nodes.flatMap(({ log }) => log.events).filter(({ name }) => name === 'view-link-opened').length
}

describe('Search for a fallback source', () => {
  it('opens few links per node while no node of a large region can read the store', async () => {
    const region = await startRegion(SEED, NODES)
    makeStoreUnreachable(region)
    const before = linksOpened(region)
    await region.clock.advance(OUTAGE_SECONDS * 1_000)
    expect((linksOpened(region) - before) / NODES / OUTAGE_SECONDS).to.be.below(MAXIMUM_LINKS_PER_NODE_AND_SECOND)
  })

  /** Longest delay of a change when only one node, not one of the two ranked readers, can read the store again after an outage. */
  async function longestDelayWithOneReader (seed: number, outage: Milliseconds): Promise<number> {
    const region = await startRegion(seed, NODES)
    const ranked = [region.reader, region.secondReader]
    const onlyReaders = region.nodes.filter((node) => !ranked.includes(node)).slice(0, 1)
    makeStoreUnreachable(region)
    await region.clock.advance(outage)
    makeStoreUnreachable(region, onlyReaders)
    await region.clock.advance(RECONNECT_MS)
    const confirmed = new Map([[2, region.configure(configurationText(2, ROUTES))]])
    await region.clock.advance(SETTLE_MS)
    return region.longestDelay(confirmed)
  }

  for (const outage of OUTAGES_MS) {
    it(`finds the only node that can read the store in time for a change, after ${outage} ms in which no node could`, async () => {
      for (let seed = SEED; seed < SEED + SEEDS; seed++) {
        expect(await longestDelayWithOneReader(seed, outage), `seed ${seed}`).to.be.below(IN_FORCE_WITHIN_MS)
      }
    })
  }
})
