/** Nodes that cannot read the store look for one that can: soon while there is one, and at little cost while there is none. */
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
/** At the 6 KB a second that a node has for control, with 4 KB for a connection that is opened and asked. */
const LINKS_PER_NODE_AND_SECOND = 1.5
/** The shortest time of the users' deployments within which a confirmed change must be in force. */
const IN_FORCE_WITHIN_MS = 2_000
/** Times in which no node reads the store before one does again. */
const OUTAGES_MS = [0, 2_000, 8_000] as Milliseconds[]
/** Longest pause of a node between two readings that fail, and a little more. */
const ONE_IS_BACK_MS = 1_700 as Milliseconds
const ROUTES = Object.freeze([{ prefix: '/a/', service: 'one' }])

async function startRegion (seed: number, nodes: number): Promise<ViewRegion> {
  const region = new ViewRegion({ seed, nodes, linkRate: LINK_RATE })
  region.configure(configurationText(1, ROUTES))
  await region.start(SETTLE_MS)
  return region
}

/** Lets no node reach the store but those named. */
function takeStoreAway (region: ViewRegion, except: readonly unknown[] = []): void {
  for (const node of region.nodes) node.feed.isReachable = except.includes(node)
}

function linksOpened (region: ViewRegion): number {
  return region.nodes.flatMap(({ log }) => log.events).filter(({ name }) => name === 'view-link-opened').length
}

describe('Search for a source', () => {
  it('costs each node little while nobody can read the store, however many nodes there are', async () => {
    const region = await startRegion(SEED, NODES)
    takeStoreAway(region)
    const before = linksOpened(region)
    await region.clock.advance(OUTAGE_SECONDS * 1_000)
    expect((linksOpened(region) - before) / NODES / OUTAGE_SECONDS).to.be.below(LINKS_PER_NODE_AND_SECOND)
  })

  /** The node that goes on reading is none that the others ask first. */
  async function longestDelayWithOneReader (seed: number, outage: Milliseconds): Promise<number> {
    const region = await startRegion(seed, NODES)
    const ranked = [region.reader, region.secondReader]
    const alone = region.nodes.filter((node) => !ranked.includes(node)).slice(0, 1)
    takeStoreAway(region)
    await region.clock.advance(outage)
    takeStoreAway(region, alone)
    await region.clock.advance(ONE_IS_BACK_MS)
    const confirmed = new Map([[2, region.configure(configurationText(2, ROUTES))]])
    await region.clock.advance(SETTLE_MS)
    return region.longestDelay(confirmed)
  }

  for (const outage of OUTAGES_MS) {
    it(`finds the only node that can read the store before a change is late, after ${outage} ms in which none could`, async () => {
      for (let seed = SEED; seed < SEED + SEEDS; seed++) {
        expect(await longestDelayWithOneReader(seed, outage), `seed ${seed}`).to.be.below(IN_FORCE_WITHIN_MS)
      }
    })
  }
})
