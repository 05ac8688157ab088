/** Choice of endpoints: tiers, load, slow start, lying reports. */
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

/** Share of choices by endpoint when nothing is outstanding. */
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
  it('prefers its failure domain, spills when it is full, and returns with hysteresis', () => {
    const pool = createPool()
    pool.update([createEndpoint('a'), createEndpoint('b', ['south', 'east']), createEndpoint('c', ['far', 'west'])], NOW)
    const [near, middle] = pool.all as [EndpointStatistics, EndpointStatistics]
    const journal: string[] = []
    const observe = (used: number): void => { journal.push(`${used}/9: ${idsOf(pool.preferred(POOL, [], NOW))}`) }
    for (const used of [0, 7, 8, 7, 6, 5, 7]) {
      near.outstanding = used
      observe(used)
    }
    near.outstanding = 9
    middle.outstanding = 9
    observe(18)
    expect(journal).toMatchSnapshot()
  })

  it('skips tiers without endpoints, and uses suspects only when nobody else is left', () => {
    const pool = createPool()
    pool.update([createEndpoint('a', undefined, { isReachable: false }), createEndpoint('b', ['far', 'west'])], NOW)
    expect(idsOf(pool.preferred(POOL, [], NOW))).to.equal('b')
    pool.update([createEndpoint('a', undefined, { isReachable: false })], NOW)
    expect(idsOf(pool.preferred(POOL, [], NOW))).to.equal('a')
    expect(pool.preferred(POOL, pool.all, NOW)).to.be.empty
  })

  it('sends less to the loaded, and forgets a report of a full endpoint that is a lie', () => {
    const pool = createPool()
    pool.update([createEndpoint('a'), createEndpoint('b'), createEndpoint('c')], NOW)
    const liar = pool.all[0] as EndpointStatistics
    liar.reportOccupancy(1_000_000, NOW)
    expect(shares(pool).a ?? 0).to.equal(0)
    expect(shares(pool, POOL, later(10_000)).a ?? 0).to.be.above(0.2)
  })

  it('does not believe a report of an idle endpoint against its own count', () => {
    const pool = createPool()
    pool.update([createEndpoint('a'), createEndpoint('b')], NOW)
    const busy = pool.all[0] as EndpointStatistics
    busy.outstanding = 9
    busy.reportOccupancy(0, NOW)
    expect(busy.estimatedLoad(NOW)).to.equal(9)
    expect(shares(pool).a ?? 0).to.equal(0)
  })

  it('gives a cold endpoint more as it warms up, also if its clock is ahead', () => {
    const resource = { ...POOL, slowStart: 10_000 as Milliseconds }
    const pool = createPool()
    pool.update([createEndpoint('a'), createEndpoint('b'), createEndpoint('cold', undefined, { since: later(3_600_000) })], NOW)
    const cold = pool.all[2] as EndpointStatistics
    const slots = [0, 5_000, 10_000].map((age) => cold.usableSlots(resource.slowStart, later(age)))
    expect(slots).to.deep.equal([0.9, 4.5, 9])
    expect(shares(pool, resource).cold ?? 0).to.equal(0)
    expect(shares(pool, resource, later(10_000)).cold ?? 0).to.be.above(0.2)
  })

  it('keeps what it knows of an endpoint across changes of the view, but not across processes', () => {
    const pool = createPool()
    pool.update([createEndpoint('a'), createEndpoint('b')], NOW)
    const first = pool.all[0]
    pool.update([createEndpoint('a', undefined, { slots: 4 })], NOW)
    expect(pool.all[0]).to.equal(first)
    pool.update([createEndpoint('a', undefined, { node: 'other' as never })], NOW)
    expect(pool.all[0]).to.not.equal(first)
  })
})
