/** Selection of endpoints by tier, load, slow start and reported occupancy, including false reports. */
import { expect } from 'chai'
import { createEndpoint, POOL } from '../../testing/RoutingFixtures.js'
import { RandomService } from '../common/RandomService.js'
import type { FailureDomain, Milliseconds, Region, Timestamp } from '../common/Types.js'
import { EndpointPool } from './EndpointPool.js'
import type { EndpointStatistics } from './EndpointStatistics.js'
import { OutlierDetector } from './OutlierDetector.js'

const SEED = 7
const NOW = 1_000_000 as Timestamp
const CHOICES = 3_000

function createPool (): EndpointPool {
  const random = new RandomService(SEED)
  return new EndpointPool({
    location: { failureDomain: 'north' as FailureDomain, region: 'east' as Region }, random, detector: new OutlierDetector(random)
  })
}

function later (milliseconds: number): Timestamp {
  return NOW + milliseconds as Timestamp
}

function idsOf (candidates: readonly EndpointStatistics[]): string {
  return candidates.map((candidate) => candidate.endpoint.id).join(' ')
}

/** Returns the share of choices for each endpoint; the choices start no calls. */
function shares (pool: EndpointPool, resource = POOL, now = NOW): Record<string, number> {
  const counts: Record<string, number> = {}
  const preferred = pool.preferred(resource, [], now)
  for (let number = 0; number < CHOICES; number++) {
    const { id } = pool.choose(resource, preferred, now).endpoint
    counts[id] = (counts[id] ?? 0) + 1 / CHOICES
  }
  return counts
}

describe('EndpointPool', () => {
  it('prefers endpoints of its failure domain, spills to the next tier above the spill threshold, and returns with hysteresis', () => {
    const pool = createPool()
    pool.update([createEndpoint('a'), createEndpoint('b', ['south', 'east']), createEndpoint('c', ['far', 'west'])], NOW)
    const [near, middle] = pool.all as [EndpointStatistics, EndpointStatistics]
    const results: string[] = []
    const observe = (used: number): void => { results.push(`${used}/9: ${idsOf(pool.preferred(POOL, [], NOW))}`) }
    for (const used of [0, 7, 8, 7, 6, 5, 7]) {
      near.outstanding = used
      observe(used)
    }
    near.outstanding = 9
    middle.outstanding = 9
    observe(18)
    expect(results).toMatchSnapshot()
  })

  it('skips tiers without endpoints, and uses endpoints on unreachable nodes only if there are no others', () => {
    const pool = createPool()
    pool.update([createEndpoint('a', undefined, { isReachable: false }), createEndpoint('b', ['far', 'west'])], NOW)
    expect(idsOf(pool.preferred(POOL, [], NOW))).to.equal('b')
    pool.update([createEndpoint('a', undefined, { isReachable: false })], NOW)
    expect(idsOf(pool.preferred(POOL, [], NOW))).to.equal('a')
    expect(pool.preferred(POOL, pool.all, NOW)).to.be.empty
  })

  it('chooses no endpoint with a reported full occupancy, and chooses it again after the report has aged', () => {
    const pool = createPool()
    pool.update([createEndpoint('a'), createEndpoint('b'), createEndpoint('c')], NOW)
    const misreporting = pool.all[0] as EndpointStatistics
    misreporting.reportOccupancy(1_000_000, NOW)
    expect(shares(pool).a ?? 0).to.equal(0)
    expect(shares(pool, POOL, later(10_000)).a ?? 0).to.be.above(0.2)
  })

  it('prefers its own count of outstanding calls to a lower reported occupancy', () => {
    const pool = createPool()
    pool.update([createEndpoint('a'), createEndpoint('b')], NOW)
    const busy = pool.all[0] as EndpointStatistics
    busy.outstanding = 9
    busy.reportOccupancy(0, NOW)
    expect(busy.estimatedLoad(NOW)).to.equal(9)
    expect(shares(pool).a ?? 0).to.equal(0)
  })

  it('raises the usable slots of a new endpoint during its slow start, also if the clock of its node is ahead', () => {
    const resource = { ...POOL, slowStart: 10_000 as Milliseconds }
    const pool = createPool()
    pool.update([createEndpoint('a'), createEndpoint('b'), createEndpoint('cold', undefined, { since: later(3_600_000) })], NOW)
    const cold = pool.all[2] as EndpointStatistics
    const slots = [0, 5_000, 10_000].map((age) => cold.usableSlots(resource.slowStart, later(age)))
    expect(slots).to.deep.equal([0.9, 4.5, 9])
    expect(shares(pool, resource).cold ?? 0).to.equal(0)
    expect(shares(pool, resource, later(10_000)).cold ?? 0).to.be.above(0.2)
  })

  it('keeps the statistics of an endpoint when its record changes, but not when another node serves it', () => {
    const pool = createPool()
    pool.update([createEndpoint('a'), createEndpoint('b')], NOW)
    const first = pool.all[0]
    pool.update([createEndpoint('a', undefined, { slots: 4 })], NOW)
    expect(pool.all[0]).to.equal(first)
    pool.update([createEndpoint('a', undefined, { node: 'other' as never })], NOW)
    expect(pool.all[0]).to.not.equal(first)
  })
})
