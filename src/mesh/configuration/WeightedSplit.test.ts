/** Division of the traffic of a route among services. */
import { expect } from 'chai'
import { RandomService } from '../../common/RandomService.js'
import type { RouteName, ServiceName } from '../../common/Types.js'
import type { IMeshRoute } from '../Types.js'
import { WeightedSplit } from './WeightedSplit.js'

const SEED = 1

describe('WeightedSplit', () => {
  it('gives every service its share within a few requests, and restarts the sequence when the weights change', () => {
    const shares = [{ service: 'a' as ServiceName, weight: 90 }, { service: 'b' as ServiceName, weight: 10 }]
    const route = { name: 'r' as RouteName, shares } as unknown as IMeshRoute
    const split = new WeightedSplit(new RandomService(SEED))
    const chosen = Array.from({ length: 20 }, () => split.choose(route))
    const even = { ...route, shares: shares.map((share) => ({ ...share, weight: 1 })) }
    expect([chosen.filter((name) => name === 'b').length, chosen.slice(0, 10).filter((name) => name === 'b').length]).to.deep.equal([2, 1])
    expect(Array.from({ length: 4 }, () => split.choose(even)).join('')).to.equal('baba')
  })

  it('spreads the first requests of many nodes over the services by weight, although each node has few requests', () => {
    const shares = [{ service: 'a' as ServiceName, weight: 80 }, { service: 'b' as ServiceName, weight: 20 }]
    const route = { name: 'r' as RouteName, shares } as unknown as IMeshRoute
    const random = new RandomService(SEED)
    const nodes = Array.from({ length: 90 }, () => new WeightedSplit(random))
    const chosen = nodes.flatMap((split) => [split.choose(route), split.choose(route)])
    expect(chosen.filter((name) => name === 'b').length / chosen.length).to.be.within(0.1, 0.3)
  })
})
