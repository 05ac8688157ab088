/** Nodes whose source fails or is outdated must get the newest configuration in time, without all reading the store themselves. */
import { expect } from 'chai'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { configurationText } from '../../../testing/mesh/ConfigurationText.js'
import { ViewRegion, type IRegionNode } from '../../../testing/mesh/ViewRegion.js'

const SEED = 18
const SEEDS = 10
const LINK_RATE = 12_500_000
const NODES = 12
/** Send rates of the reader in bytes per second: from just enough for the heartbeats to all followers down to far too low. */
const SEND_RATES = [2_500, 1_800, 1_200, 900, 600, 300]
/** Time within which a confirmed change must be in force: the strictest requirement of any deployment of the users. */
const IN_FORCE_WITHIN_MS = 2_000
/** Round trip to a store that is 80 times slower than usual, including the propagation delay. */
const SLOW_ROUND_TRIP_MS = 340
const SLOW_ROUND_TRIPS_MS = [SLOW_ROUND_TRIP_MS, 500, 800, 1_200]
const CHANGE_INTERVAL_MS = 220
/** Number of tables. Each is read separately, and a read that started before the store became slow still has the short timeout. */
const TABLES = 2
const SETTLE_MS = 8_000 as Milliseconds
const ROUTES = Object.freeze([{ prefix: '/a/', service: 'one' }])

async function startRegion (seed = SEED, nodes = NODES): Promise<ViewRegion> {
  const region = new ViewRegion({ seed, nodes, linkRate: LINK_RATE })
  region.configure(configurationText(1, ROUTES))
  await region.start(SETTLE_MS)
  return region
}

function countOf (node: IRegionNode, event: string): number {
  return node.log.events.filter(({ name }) => name === event).length
}

/** Number of links of these nodes that were closed for a reason. */
function countClosedLinks (nodes: readonly IRegionNode[], reason: string): number {
  return nodes.flatMap(({ log }) => log.events).filter(({ name, fields }) => name === 'view-link-lost' && fields.reason === reason).length
}

describe('Failover of view sources', () => {
  it('nodes that cannot reach the first-ranked reader follow the second, which follows the first', async () => {
    const region = await startRegion()
    const reader = region.reader
    const second = region.secondReader
    const readerDomains = [reader, second].map(({ transport }) => transport.failureDomain)
    const partitioned = region.nodes.filter(({ transport }) => !readerDomains.includes(transport.failureDomain))
    region.partitionFrom(reader, partitioned)
    await region.clock.advance(SETTLE_MS)
    const callsBefore = partitioned.reduce((sum, { feed }) => sum + feed.calls, 0)
    region.configure(configurationText(2, ROUTES))
    await region.clock.advance(SETTLE_MS)
    expect(partitioned.map(({ configuration }) => configuration.version)).to.deep.equal(partitioned.map(() => 2))
    expect(partitioned.reduce((sum, { feed }) => sum + feed.calls, 0) - callsBefore).to.equal(0)
    expect(countClosedLinks(partitioned, 'too-far')).to.equal(0)
  })

  it('the second-ranked reader keeps reading the store while the first cannot, and the first follows its view', async () => {
    for (let seed = SEED; seed < SEED + SEEDS; seed++) {
      const region = await startRegion(seed, 3)
      const { reader, secondReader } = region
      reader.feed.isReachable = false
      await region.clock.advance(SETTLE_MS)
      const stopsBefore = countOf(secondReader, 'view-reading-stopped')
      region.configure(configurationText(2, ROUTES))
      await region.clock.advance(IN_FORCE_WITHIN_MS)
      expect(region.nodes.map(({ configuration }) => configuration.version)).to.deep.equal([2, 2, 2])
      await region.clock.advance(SETTLE_MS)
      expect(countOf(secondReader, 'view-reading-stopped') - stopsBefore).to.equal(0)
    }
  })

  it('a node keeps its source while the store is slow for all nodes', async () => {
    const region = await startRegion()
    const linksLost = (): number => region.nodes.reduce((sum, node) => sum + countOf(node, 'view-link-lost'), 0)
    const lostBefore = linksLost()
    for (const { feed } of region.nodes) feed.roundTrip = SLOW_ROUND_TRIP_MS
    for (let version = 2; version < 12; version++) {
      region.configure(configurationText(version, ROUTES))
      await region.clock.advance(1_500)
    }
    expect(linksLost() - lostBefore).to.equal(0)
  })

  for (const roundTrip of SLOW_ROUND_TRIPS_MS) {
    it(`a node changes its source at most once per table when the store becomes slow during changes: ${roundTrip} ms`, async () => {
      const region = await startRegion()
      const followers = region.nodes.filter((node) => node !== region.reader)
      const readingsBefore = followers.map((node) => countOf(node, 'view-reading-started'))
      for (const { feed } of region.nodes) feed.roundTrip = roundTrip
      for (let version = 2; version < 92; version++) {
        region.configure(configurationText(version, ROUTES))
        await region.clock.advance(CHANGE_INTERVAL_MS)
      }
      const readings = followers.map((node, index) => countOf(node, 'view-reading-started') - (readingsBefore[index] ?? 0))
      expect(Math.max(...readings)).to.be.at.most(TABLES)
    })
  }

  for (const sendRate of SEND_RATES) {
    it(`a node stops following a source whose messages arrive too late: ${sendRate} bytes per second`, async () => {
      const region = await startRegion()
      const { reader } = region
      const others = region.nodes.filter((node) => node !== reader)
      reader.transport.sendRate = sendRate
      const confirmed = new Map<number, Timestamp>()
      for (let version = 2; version < 12; version++) {
        confirmed.set(version, region.configure(configurationText(version, ROUTES)))
        await region.clock.advance(1_000)
      }
      await region.clock.advance(SETTLE_MS)
      expect(region.longestDelay(confirmed, others)).to.be.below(IN_FORCE_WITHIN_MS)
    })
  }
})
