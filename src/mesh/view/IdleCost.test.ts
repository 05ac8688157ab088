/** An idle node wakes up rarely, however many nodes the region has: on a small VM, and in a large fleet, this is most of what it costs. */
import { expect } from 'chai'
import type { Milliseconds } from '../../common/Types.js'
import { configurationText } from '../../../testing/mesh/ConfigurationText.js'
import { ViewRegion } from '../../../testing/mesh/ViewRegion.js'

const SEED = 17
const LINK_RATE = 12_500_000
const SETTLE_MS = 8_000 as Milliseconds
const IDLE_SECONDS = 10
/** The heartbeat of the source arrives 3.3 times a second and is all that a follower needs; the rest is the share of the readers. */
const MAXIMUM_WAKE_UPS_PER_NODE_AND_SECOND = 6
const ROUTES = Object.freeze([{ prefix: '/a/', service: 'one' }])

/** Timers and messages, for each node and second, of a region in which nothing changes. */
async function idleWakeUps (nodes: number): Promise<number> {
  const region = new ViewRegion({ seed: SEED, nodes, linkRate: LINK_RATE })
  region.configure(configurationText(1, ROUTES))
  await region.start(SETTLE_MS)
  const before = region.clock.timersRun
  await region.clock.advance(IDLE_SECONDS * 1_000)
  return (region.clock.timersRun - before) / nodes / IDLE_SECONDS
}

describe('The view of an idle node', () => {
  for (const nodes of [30, 90]) {
    it(`wakes it up a few times a second in a region of ${nodes} nodes`, async () => {
      expect(await idleWakeUps(nodes)).to.be.below(MAXIMUM_WAKE_UPS_PER_NODE_AND_SECOND)
    })
  }
})
