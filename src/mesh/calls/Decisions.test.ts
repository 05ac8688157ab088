/** Where requests go, what is repeated, and how much of it. */
import { expect } from 'chai'
import { RandomService } from '../../common/RandomService.js'
import type { EndpointId, FailureDomain, Milliseconds, NetworkAddress, Region, RouteName, ServiceName, Timestamp } from '../../common/Types.js'
import type { LocalityTier } from '../../routing/Types.js'
import type { AttemptOutcome, IEndpointLoad, IMeshRoute, NodeName } from '../Types.js'
import { WeightedSplit } from '../configuration/WeightedSplit.js'
import { EndpointView } from './EndpointView.js'
import { Placement } from './Placement.js'
import { judgeRepeat, type IRepeatSubject } from './RepeatRules.js'
import { RetryAllowance } from './RetryAllowance.js'

const NOW = 10_000 as Timestamp
const OBJECTIVE = 600 as Milliseconds

function viewOf (name: string, tier: LocalityTier, load: Partial<IEndpointLoad> | undefined, warmUpLeft = 0): EndpointView {
  const view = new EndpointView({
    node: {
      node: name as NodeName,
      failureDomain: 'z' as FailureDomain,
      region: 'r' as Region,
      gateAddress: '10.0.0.1:1' as NetworkAddress,
      peerAddress: '10.0.0.1:2' as NetworkAddress,
      isLeaving: false,
      learntAt: NOW
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

/** Names by how often they were chosen of `count` times, each choice adding one request there. */
function chooseMany (views: readonly EndpointView[], count: number, left = OBJECTIVE): Record<string, number> {
  const placement = new Placement(new RandomService(1))
  const chosen: Record<string, number> = {}
  for (let time = 0; time < count; time++) {
    const view = placement.choose(views, { objective: OBJECTIVE, left }, NOW)
    if (view === undefined) break
    view.begin(NOW)
    chosen[view.target.endpoint.id] = (chosen[view.target.endpoint.id] ?? 0) + 1
  }
  return chosen
}

describe('Placement', () => {
  it('stays in the failure domain while it has room, then goes to the region, and abroad last', () => {
    const views = (): EndpointView[] => [viewOf('own', 0, {}), viewOf('region', 1, {}), viewOf('abroad', 2, {})]
    expect([chooseMany(views(), 4), chooseMany(views(), 18), chooseMany(views(), 40)]).toMatchSnapshot()
  })

  it('leaves an endpoint that has turned slow, and one that fails a part of its requests', () => {
    const slow = [viewOf('slow', 0, { serviceTime: 2_000 as Milliseconds }), viewOf('region', 1, {})]
    const failing = [viewOf('failing', 0, { failurePercent: 50 }), viewOf('region', 1, {})]
    expect([chooseMany(slow, 8), chooseMany(failing, 8)]).to.deep.equal([{ region: 8 }, { region: 8 }])
  })

  it('still serves where every endpoint fails a part', () => {
    expect(Object.values(chooseMany([viewOf('a', 0, { failurePercent: 60 }), viewOf('b', 0, { failurePercent: 60 })], 10))).to.deep.equal([5, 5])
  })

  it('goes abroad for an answer that would be late at home, and not for one that is late anyway', () => {
    const views = (): EndpointView[] => [viewOf('own', 0, { serviceTime: 640 as Milliseconds }), viewOf('abroad', 2, { serviceTime: 360 as Milliseconds })]
    expect([chooseMany(views(), 2), chooseMany(views(), 2, 0 as Milliseconds)]).to.deep.equal([{ abroad: 2 }, { own: 2 }])
  })

  it('takes requests that stay without an answer for a sign of a slow endpoint, and tries it again later', () => {
    const silent = viewOf('silent', 0, {})
    silent.begin(NOW)
    const later = NOW + 900 as Timestamp
    const placement = new Placement(new RandomService(1))
    const reported = viewOf('reported', 0, { serviceTime: 2_000 as Milliseconds })
    const times = [0, 4_000, 20_000].map((passed) => Math.round(reported.serviceTimeAt(200, NOW + passed as Timestamp) ?? 0))
    expect([placement.expectedTime(silent, 200, later), times]).to.deep.equal([900, [2_000, 1_100, 256]])
  })

  it('asks an endpoint without room no more for a moment, but for more important requests', () => {
    const view = viewOf('full', 0, {})
    view.noteFull({ rank: 1, objectiveAt: NOW + OBJECTIVE as Timestamp }, 400 as Milliseconds, NOW)
    const asked = [0, 1, 2].map((rank) => view.roomAt(rank, NOW + 100 as Timestamp))
    expect([asked, view.roomAt(1, NOW + 200 as Timestamp)]).to.deep.equal([[undefined, NOW + 400, NOW + 400], undefined])
  })

  it('tries an endpoint that it has never used', () => {
    expect(chooseMany([viewOf('known', 0, {}), viewOf('new', 0, undefined, 3_000)], 1)).to.deep.equal({ new: 1 })
  })

  it('has nothing to choose of no candidates', () => {
    expect(chooseMany([], 1)).to.deep.equal({})
  })
})

describe('RepeatRules', () => {
  const subject: IRepeatSubject = { repeat: 'idempotent', attempts: 2, deadlineAt: 11_000 as Timestamp, isCancelled: false }
  const answered = (status: number): AttemptOutcome => ({ kind: 'answered', answer: { status, fields: [], body: Buffer.alloc(0) } })
  const outcomes: Record<string, AttemptOutcome> = {
    200: answered(200),
    404: answered(404),
    500: answered(500),
    504: answered(504),
    overloaded: { kind: 'refused', reason: 'overloaded' },
    draining: { kind: 'refused', reason: 'draining' },
    shed: { kind: 'refused', reason: 'shed' },
    deadline: { kind: 'refused', reason: 'deadline' },
    broken: { kind: 'unknown', reason: 'connection broke' },
    'unknown deadline': { kind: 'unknown', reason: 'deadline' }
  }

  it('gives up after some endpoints have refused for want of room', () => {
    const verdicts = [1, 2, 3].map((refusalsForRoom) => {
      return judgeRepeat(subject, outcomes.overloaded as AttemptOutcome, { arrivals: 0, tries: refusalsForRoom, refusalsForRoom }, NOW)
    })
    expect(verdicts).to.deep.equal(['again', 'again', 'final'])
  })

  it('decides each outcome by the kind of the request, its attempts and its time', () => {
    const subjects: Record<string, IRepeatSubject> = {
      idempotent: subject,
      'non-idempotent': { ...subject, repeat: 'non-idempotent' },
      'one attempt': { ...subject, attempts: 1 },
      'out of time': { ...subject, deadlineAt: NOW },
      cancelled: { ...subject, isCancelled: true }
    }
    const table: Record<string, Record<string, string>> = {}
    for (const [name, candidate] of Object.entries(subjects)) {
      const verdicts = Object.entries(outcomes).map(([key, outcome]) => {
        return [key, judgeRepeat(candidate, outcome, { arrivals: 1, tries: 1, refusalsForRoom: 0 }, NOW)] as const
      })
      table[name] = Object.fromEntries(verdicts)
    }
    expect(table).toMatchSnapshot()
  })
})

describe('RetryAllowance', () => {
  const service = 's' as ServiceName
  const options = { ratio: 0.2, slack: 60, window: 10_000 as Milliseconds }

  /** Repeats that a node gets out of `requests` spread over a window in which every one fails. */
  function repeatsOf (requests: number, nodes: number): number {
    const allowance = new RetryAllowance(options)
    let repeats = 0
    for (let number = 0; number < requests; number++) {
      const now = NOW + number * options.window / requests as Timestamp
      allowance.noteRequest(service, now)
      if (allowance.take(service, nodes, now)) repeats++
    }
    return repeats
  }

  it('keeps all nodes together below the shared limit, however the requests are divided', () => {
    for (const nodes of [1, 6, 18, 90]) {
      for (const perNode of [5, 60, 1_000]) {
        expect(repeatsOf(perNode, nodes) * nodes, `${nodes} nodes`).to.be.at.most(options.ratio * perNode * nodes + options.slack)
      }
    }
  })

  it('forgets a window that has passed', () => {
    const allowance = new RetryAllowance(options)
    while (allowance.take(service, 18, NOW));
    const later = [9_000, 10_500].map((passed) => allowance.take(service, 18, NOW + passed as Timestamp))
    expect(later).to.deep.equal([false, true])
  })
})

describe('WeightedSplit', () => {
  it('gives every part its weight over any few requests, and begins anew with new weights', () => {
    const shares = [{ service: 'a' as ServiceName, weight: 90 }, { service: 'b' as ServiceName, weight: 10 }]
    const route = { name: 'r' as RouteName, shares } as unknown as IMeshRoute
    const split = new WeightedSplit()
    const chosen = Array.from({ length: 20 }, () => split.choose(route))
    const even = { ...route, shares: shares.map((share) => ({ ...share, weight: 1 })) }
    expect([chosen.filter((name) => name === 'b').length, chosen.slice(0, 10).filter((name) => name === 'b').length]).to.deep.equal([2, 1])
    expect(Array.from({ length: 4 }, () => split.choose(even)).join('')).to.equal('abab')
  })
})
