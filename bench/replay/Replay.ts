/** Replays a load pattern against the classes that select endpoints and queue requests, without sockets and in simulated time. */
import { RandomService } from '../../src/common/RandomService.js'
import type {
  EndpointId, FailureDomain, Milliseconds, NetworkAddress, Region, RouteName, ServiceName, Timestamp
} from '../../src/common/Types.js'
import { EndpointView } from '../../src/mesh/calls/EndpointView.js'
import { EndpointSelector } from '../../src/mesh/calls/EndpointSelector.js'
import { MAXIMUM_CAPACITY_REFUSALS } from '../../src/mesh/calls/RetryRules.js'
import { ServiceTimes } from '../../src/mesh/endpoint/ServiceTimes.js'
import type { AttemptOutcome, IEndpointLoad, IMeshEndpoint, NodeName } from '../../src/mesh/Types.js'
import type { LocalityTier } from '../../src/routing/Types.js'
import { EventQueue } from './EventQueue.js'
import { DOMAIN_COUNT, DOMAINS_PER_REGION, KINDS, SLOTS } from './LoadPatterns.js'
import { ReplayedRequest, type ReplayOutcome } from './ReplayedRequest.js'
import type { ILoadPattern, IReplayedQueue, IReplayPolicy, IReplayResult, IRequestKind } from './Types.js'

const SECOND_MS = 1_000
/** Requests count from this time, when the nodes have estimates of their endpoints. */
const WARM_UP_MS = 3_000
/** Round trip times between callers and endpoints by locality tier, in milliseconds. */
const ROUND_TRIPS_MS: readonly [number, number, number] = [0, 1, 16]
/** Factor on the work of each request, by endpoint; a larger factor is slower. */
const WORK_FACTORS = [1, 0.7, 1, 1.5, 1, 0.8]
/** Maximum relative deviation of the work of a request from the mean, in either direction. */
const WORK_SPREAD = 0.6
const PERCENT = 100

/** One endpoint with the request queue and the service times of its node. */
interface IReplayedEndpoint {
  readonly number: number
  readonly queue: IReplayedQueue
  readonly serviceTimes: ServiceTimes
}

/** One replay of a load pattern under a policy. */
export class Replay {
  private readonly _queue = new EventQueue()
  private readonly _random: RandomService
  private readonly _selector: EndpointSelector
  private readonly _endpoints: readonly IReplayedEndpoint[]
  /** View that the node of each failure domain has of each endpoint. */
  private readonly _views: ReadonlyArray<readonly EndpointView[]>
  private readonly _requests: ReplayedRequest[] = []
  private _retries = 0
  private _crossRegionAttempts = 0
  private _maximumRefusalDelay = 0

  constructor (private readonly _pattern: ILoadPattern, policy: IReplayPolicy, seed: number) {
    this._random = new RandomService(seed)
    this._selector = new EndpointSelector(new RandomService(seed + 1), policy.selection)
    this._endpoints = Array.from({ length: DOMAIN_COUNT }, (_, number) => {
      const queue = policy.createQueue()
      queue.resize(SLOTS)
      return { number, queue, serviceTimes: new ServiceTimes() }
    })
    this._views = Array.from({ length: DOMAIN_COUNT }, (_, domain) => this._endpoints.map(({ number }) => createView(domain, number)))
  }

  /** Replays the load for this many seconds of simulated time. */
  public run (seconds: number): IReplayResult {
    for (let domain = 0; domain < DOMAIN_COUNT; domain++) this._scheduleArrival(domain)
    this._queue.runUntil(seconds * SECOND_MS)
    return this._summarize(seconds * SECOND_MS)
  }

  private get _now (): Timestamp {
    return this._queue.now as Timestamp
  }

  /** Schedules the next request of a failure domain; arrivals form a Poisson process. */
  private _scheduleArrival (domain: number): void {
    const gap = -Math.log(1 - this._random.fraction()) * SECOND_MS / this._pattern.rate(domain, this._now)
    this._queue.after(gap, () => {
      const request = new ReplayedRequest(this._drawKind(), domain, this._now)
      if (this._now >= WARM_UP_MS) this._requests.push(request)
      this._send(request)
      this._scheduleArrival(domain)
    })
  }

  private _drawKind (): IRequestKind {
    let remainder = this._random.fraction()
    return KINDS.find(({ share }) => (remainder -= share) < 0) ?? KINDS[0] as IRequestKind
  }

  private _send (request: ReplayedRequest): void {
    const now = this._now
    const known = this._views[request.domain] ?? []
    const views = known.filter((view) => !request.tried.has(view) && view.capacityExpectedAt(request.rank, now) === undefined)
    const preference = { objective: request.kind.objective as Milliseconds, left: request.objectiveAt - now as Milliseconds }
    const view = this._selector.choose(views, preference, now)
    if (view === undefined || request.capacityRefusals >= MAXIMUM_CAPACITY_REFUSALS) return this._finish(request, 'refused')
    if (request.tries++ > 0) this._retries++
    if (view.tier === 2) this._crossRegionAttempts++
    request.tried.add(view)
    request.view = view
    request.attempt = view.begin(now)
    const endpoint = this._endpoints[Number(view.target.endpoint.id)] as IReplayedEndpoint
    this._queue.after(ROUND_TRIPS_MS[view.tier] / 2, () => this._offer(endpoint, request))
  }

  private _offer (endpoint: IReplayedEndpoint, request: ReplayedRequest): void {
    const { queue, serviceTimes } = endpoint
    request.expected = serviceTimes.expected(String(request.rank) as RouteName, request.kind.objective as Milliseconds)
    const decision = queue.offer(request, this._now)
    if (decision.kind === 'refuse') return this._refuse(endpoint, request, decision.retryAfter)
    if (decision.kind === 'start') return this._start(endpoint, request)
    for (const displaced of decision.displaced) this._refuse(endpoint, displaced, queue.expectedWait(displaced, this._now))
  }

  private _start (endpoint: IReplayedEndpoint, request: ReplayedRequest): void {
    const { queue, serviceTimes, number } = endpoint
    const spread = 1 + WORK_SPREAD * (2 * this._random.fraction() - 1)
    const work = request.kind.meanWork * spread * (WORK_FACTORS[number] ?? 1) * this._pattern.slowness(number, this._now)
    const remainingTime = request.deadlineAt - this._now
    // An endpoint aborts a request at its deadline.
    const duration = Math.min(work, remainingTime) as Milliseconds
    this._queue.after(duration, () => {
      queue.release(request)
      const route = String(request.rank) as RouteName
      if (work <= remainingTime) serviceTimes.record(route, duration)
      else serviceTimes.recordLowerBound(route, duration)
      this._deliverOutcome(endpoint, request, { kind: 'answered', answer: { status: work <= remainingTime ? 200 : 504, fields: [], body: NO_BODY } })
      this._startNext(endpoint)
    })
  }

  private _startNext (endpoint: IReplayedEndpoint): void {
    for (;;) {
      const { next, expired } = endpoint.queue.next(this._now)
      for (const request of expired) this._refuse(endpoint, request, endpoint.queue.expectedWait(request, this._now))
      if (next === undefined) return
      this._start(endpoint, next)
    }
  }

  private _refuse (endpoint: IReplayedEndpoint, request: ReplayedRequest, retryAfter: Milliseconds): void {
    this._deliverOutcome(endpoint, request, { kind: 'refused', reason: 'overloaded', retryAfter })
  }

  /** Delivers an outcome to the caller's node after the transit time, together with the load of the endpoint. */
  private _deliverOutcome ({ queue, serviceTimes }: IReplayedEndpoint, request: ReplayedRequest, outcome: AttemptOutcome): void {
    const { view, attempt } = request
    if (view === undefined || attempt === undefined) return
    const handled = this._now - attempt.startedAt as Milliseconds
    const occupied = queue.running + queue.waiting
    const load: IEndpointLoad = { occupied, slots: SLOTS, serviceTime: serviceTimes.overall, failurePercent: 0, handled }
    this._queue.after(ROUND_TRIPS_MS[view.tier] / 2, () => {
      const now = this._now
      view.end(attempt)
      view.observe({ ...outcome, load }, now - attempt.startedAt as Milliseconds, now)
      if (outcome.kind === 'answered') return this._finish(request, this._classify(request, outcome.answer.status))
      request.capacityRefusals++
      if (outcome.kind === 'refused') view.recordCapacityRefusal(request, outcome.retryAfter ?? NO_WAIT, now)
      this._send(request)
    })
  }

  private _classify (request: ReplayedRequest, status: number): ReplayOutcome {
    if (status !== 200 || this._now > request.deadlineAt) return 'failed'
    return this._now <= request.objectiveAt ? 'on-time' : 'late'
  }

  private _finish (request: ReplayedRequest, outcome: ReplayOutcome): void {
    request.end ??= outcome
    if (outcome === 'refused' && this._now >= WARM_UP_MS) this._maximumRefusalDelay = Math.max(this._maximumRefusalDelay, this._now - request.arrivedAt)
  }

  /** Summarizes the requests whose deadlines expire before the end of the replay. */
  private _summarize (end: number): IReplayResult {
    const counted = this._requests.filter(({ deadlineAt }) => deadlineAt < end)
    const share = (of: readonly ReplayedRequest[], wanted: ReplayOutcome): number => {
      return of.length === 0 ? 0 : PERCENT * of.filter(({ end }) => (end ?? 'failed') === wanted).length / of.length
    }
    const ranks = KINDS.map(({ rank }) => [rank, share(counted.filter((request) => request.rank === rank), 'on-time')] as const)
    return {
      requests: counted.length,
      onTime: share(counted, 'on-time'),
      late: share(counted, 'late'),
      refused: share(counted, 'refused'),
      failed: share(counted, 'failed'),
      retries: this._retries,
      crossRegionAttempts: this._crossRegionAttempts,
      maximumRefusalDelay: this._maximumRefusalDelay,
      onTimeByRank: new Map(ranks)
    }
  }
}

const NO_BODY = Buffer.alloc(0)
const NO_WAIT = 0 as Milliseconds

function createView (domain: number, endpoint: number): EndpointView {
  const target: IMeshEndpoint = {
    node: {
      node: String(endpoint) as NodeName,
      failureDomain: String(endpoint) as FailureDomain,
      region: String(regionOf(endpoint)) as Region,
      gateAddress: '127.0.0.1:1' as NetworkAddress,
      peerAddress: '127.0.0.1:2' as NetworkAddress,
      isLeaving: false,
      learntAt: 0 as Timestamp
    },
    endpoint: {
      id: String(endpoint) as EndpointId,
      bornAt: 1,
      service: 'replayed' as ServiceName,
      address: '127.0.0.1:3' as NetworkAddress,
      slots: SLOTS,
      phase: 'serving',
      warmUpLeft: NO_WAIT
    }
  }
  return new EndpointView(target, tierOf(domain, endpoint))
}

function regionOf (domain: number): number {
  return Math.floor(domain / DOMAINS_PER_REGION)
}

function tierOf (domain: number, endpoint: number): LocalityTier {
  if (domain === endpoint) return 0
  return regionOf(domain) === regionOf(endpoint) ? 1 : 2
}
