/** Selection of endpoints by load, distance, failures and age of the observations. */
import { expect } from 'chai'
import { RandomService } from '../../common/RandomService.js'
import type { EndpointId, FailureDomain, Milliseconds, NetworkAddress, Region, ServiceName, Timestamp } from '../../common/Types.js'
import type { LocalityTier } from '../../routing/Types.js'
import type { IEndpointLoad, NodeName } from '../Types.js'
import { EndpointView } from './EndpointView.js'
import { EndpointSelector } from './EndpointSelector.js'

const NOW = 10_000 as Timestamp
const OBJECTIVE = 600 as Milliseconds
const LONG_AGO_MS = 5_000

function viewOf (name: string, tier: LocalityTier, load: Partial<IEndpointLoad> | undefined, warmUpLeft = 0): EndpointView {
  const view = new EndpointView({
    node: {
      node: name as NodeName,
      failureDomain: 'z' as FailureDomain,
      region: 'r' as Region,
      gateAddress: '10.0.0.1:1' as NetworkAddress,
      peerAddress: '10.0.0.1:2' as NetworkAddress,
      isLeaving: false,
      learntAt: (warmUpLeft > 0 ? NOW : NOW - LONG_AGO_MS) as Timestamp
    },
    endpoint: {
      id: name as EndpointId,
      bornAt: 1,
      service: 's' as ServiceName,
      address: '10.0.0.1:3' as NetworkAddress,
      slots: 8,
      phase: 'serving',
      warmUpLeft: warmUpLeft as Milliseconds
    }
  }, tier)
  const complete = { occupied: 0, slots: 8, serviceTime: 200 as Milliseconds, failurePercent: 0, handled: 0 as Milliseconds }
  if (load !== undefined) view.observeLoad({ ...complete, ...load }, NOW)
  return view
}

/** Number of selections per endpoint over `count` selections, each of which adds one outstanding request at the selected endpoint. */
function chooseMany (views: readonly EndpointView[], count: number, left = OBJECTIVE): Record<string, number> {
  const selector = new EndpointSelector(new RandomService(1))
  const chosen: Record<string, number> = {}
  for (let time = 0; time < count; time++) {
    const view = selector.choose(views, { objective: OBJECTIVE, left }, NOW)
    if (view === undefined) break
    view.begin(NOW)
    chosen[view.target.endpoint.id] = (chosen[view.target.endpoint.id] ?? 0) + 1
  }
  return chosen
}

describe('EndpointSelector', () => {
  it('prefers the own failure domain while it has capacity, then the own region, then other regions', () => {
    const views = (): EndpointView[] => [viewOf('own', 0, {}), viewOf('region', 1, {}), viewOf('abroad', 2, {})]
    expect([chooseMany(views(), 4), chooseMany(views(), 18), chooseMany(views(), 40)]).toMatchSnapshot()
  })

  it('avoids an endpoint that has become slow and one that fails a part of its requests', () => {
    const slow = [viewOf('slow', 0, { serviceTime: 2_000 as Milliseconds }), viewOf('region', 1, {})]
    const failing = [viewOf('failing', 0, { failurePercent: 50 }), viewOf('region', 1, {})]
    expect([chooseMany(slow, 8), chooseMany(failing, 8)]).to.deep.equal([{ region: 8 }, { region: 8 }])
  })

  it('still selects endpoints if every endpoint fails a part of its requests', () => {
    expect(Object.values(chooseMany([viewOf('a', 0, { failurePercent: 60 }), viewOf('b', 0, { failurePercent: 60 })], 10))).to.deep.equal([5, 5])
  })

  it('selects another region if a response from the own domain would be late, unless the objective has already expired', () => {
    const views = (): EndpointView[] => [viewOf('own', 0, { serviceTime: 640 as Milliseconds }), viewOf('abroad', 2, { serviceTime: 360 as Milliseconds })]
    expect([chooseMany(views(), 2), chooseMany(views(), 2, 0 as Milliseconds)]).to.deep.equal([{ abroad: 2 }, { own: 2 }])
  })

  it('treats the age of outstanding requests as service time of an endpoint, and lets a reported excess decay', () => {
    const stalled = viewOf('silent', 0, {})
    stalled.begin(NOW)
    const later = NOW + 900 as Timestamp
    const selector = new EndpointSelector(new RandomService(1))
    const reported = viewOf('reported', 0, { serviceTime: 2_000 as Milliseconds })
    const times = [0, 4_000, 20_000].map((passed) => Math.round(reported.serviceTimeAt(200, NOW + passed as Timestamp) ?? 0))
    expect([selector.expectedTime(stalled, 200, later), times]).to.deep.equal([900, [2_000, 1_100, 256]])
  })

  it('excludes an endpoint without capacity for a short time, except for requests of higher priority', () => {
    const view = viewOf('full', 0, {})
    view.recordCapacityRefusal({ rank: 1, objectiveAt: NOW + OBJECTIVE as Timestamp }, 400 as Milliseconds, NOW)
    const times = [0, 1, 2].map((rank) => view.capacityExpectedAt(rank, NOW + 100 as Timestamp))
    expect([times, view.capacityExpectedAt(1, NOW + 200 as Timestamp)]).to.deep.equal([[undefined, NOW + 400, NOW + 400], undefined])
  })

  it('prefers an endpoint that has never been used', () => {
    expect(chooseMany([viewOf('known', 0, {}), viewOf('new', 0, undefined)], 1)).to.deep.equal({ new: 1 })
  })

  it('sends one request at a time to an endpoint that has not reported its load', () => {
    const views = ['full', 'fuller'].map((name) => viewOf(name, 0, { occupied: 10 }))
    expect(chooseMany([...views, viewOf('new', 0, undefined)], 4).new).to.equal(1)
  })

  it('increases the share of an endpoint gradually after it has appeared, so that not all nodes switch to it at once', () => {
    const selector = new EndpointSelector(new RandomService(1))
    const appeared = viewOf('appeared', 0, {}, 1)
    const full = viewOf('full', 0, { occupied: 12 })
    const shares = [0, 700, 1_400, 2_100].map((after) => {
      const now = NOW + after as Timestamp
      full.observeLoad({ occupied: 12, slots: 8, serviceTime: 200 as Milliseconds, failurePercent: 0, handled: 0 as Milliseconds }, now)
      const chosen = Array.from({ length: 200 }, () => selector.choose([appeared, full], { objective: OBJECTIVE, left: OBJECTIVE }, now))
      return chosen.filter((view) => view === appeared).length / 2
    })
    expect(shares).to.deep.equal([...shares].sort((left, right) => left - right))
    expect(shares[0]).to.be.lessThan(60)
    expect(shares[3]).to.equal(100)
  })

  it('selects nothing if there are no candidates', () => {
    expect(chooseMany([], 1)).to.deep.equal({})
  })
})
