/** Replays a load against the classes that decide, and nothing else: no sockets, no clock of the machine. */
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
import { DOMAINS, DOMAINS_IN_REGION, KINDS, SLOTS } from './LoadPatterns.js'
import { ReplayedRequest, type ReplayEnd } from './ReplayedRequest.js'
import type { ILoadPattern, IReplayedLine, IReplayPolicy, IReplayResult, IRequestKind } from './Types.js'

const SECOND_MS = 1_000
/** Requests are judged from then on, once the nodes know their endpoints. */
const WARM_UP_MS = 3_000
/** Ways between callers and endpoints there and back, by tier, in milliseconds. */
const ROUND_TRIPS_MS: readonly [number, number, number] = [0, 1, 16]
/** Speeds of the endpoints; a larger number is slower. */
const SPEEDS = [1, 0.7, 1, 1.5, 1, 0.8]
/** Most parts by which the work of a request differs from the mean, to either side. */
const SPREAD = 0.6
const PERCENT = 100

/** One endpoint with its node. */
interface IReplayedEndpoint {
  readonly number: number
  readonly line: IReplayedLine
  readonly times: ServiceTimes
}

/** One run of a pattern under a policy. */
export class Replay {
  private readonly _queue = new EventQueue()
  private readonly _random: RandomService
  private readonly _placement: EndpointSelector
  private readonly _endpoints: readonly IReplayedEndpoint[]
  /** What the node of each failure domain knows of each endpoint. */
  private readonly _views: ReadonlyArray<readonly EndpointView[]>
  private readonly _requests: ReplayedRequest[] = []
  private _repeats = 0
  private _abroad = 0
  private _longestHold = 0

  constructor (private readonly _pattern: ILoadPattern, policy: IReplayPolicy, seed: number) {
    this._random = new RandomService(seed)
    this._placement = new EndpointSelector(new RandomService(seed + 1), policy.placement)
    this._endpoints = Array.from({ length: DOMAINS }, (_, number) => {
      const line = policy.createLine()
      line.resize(SLOTS)
      return { number, line, times: new ServiceTimes() }
    })
    this._views = Array.from({ length: DOMAINS }, (_, domain) => this._endpoints.map(({ number }) => createView(domain, number)))
  }

  /** Plays the load for some seconds. */
  public run (seconds: number): IReplayResult {
    for (let domain = 0; domain < DOMAINS; domain++) this._arrive(domain)
    this._queue.runUntil(seconds * SECOND_MS)
    return this._summarize(seconds * SECOND_MS)
  }

  private get _now (): Timestamp {
    return this._queue.now as Timestamp
  }

  /** Poisson arrivals. */
  private _arrive (domain: number): void {
    const gap = -Math.log(1 - this._random.fraction()) * SECOND_MS / this._pattern.rate(domain, this._now)
    this._queue.after(gap, () => {
      const request = new ReplayedRequest(this._drawKind(), domain, this._now)
      if (this._now >= WARM_UP_MS) this._requests.push(request)
      this._send(request)
      this._arrive(domain)
    })
  }

  private _drawKind (): IRequestKind {
    let left = this._random.fraction()
    return KINDS.find(({ share }) => (left -= share) < 0) ?? KINDS[0] as IRequestKind
  }

  private _send (request: ReplayedRequest): void {
    const now = this._now
    const known = this._views[request.domain] ?? []
    const views = known.filter((view) => !request.tried.has(view) && view.capacityExpectedAt(request.rank, now) === undefined)
    const wish = { objective: request.kind.objective as Milliseconds, left: request.objectiveAt - now as Milliseconds }
    const view = this._placement.choose(views, wish, now)
    if (view === undefined || request.refusalsForRoom >= MAXIMUM_CAPACITY_REFUSALS) return this._finish(request, 'refused')
    if (request.tries++ > 0) this._repeats++
    if (view.tier === 2) this._abroad++
    request.tried.add(view)
    request.view = view
    request.attempt = view.begin(now)
    const endpoint = this._endpoints[Number(view.target.endpoint.id)] as IReplayedEndpoint
    this._queue.after(ROUND_TRIPS_MS[view.tier] / 2, () => this._offer(endpoint, request))
  }

  private _offer (endpoint: IReplayedEndpoint, request: ReplayedRequest): void {
    const { line, times } = endpoint
    request.expected = times.expected(String(request.rank) as RouteName, request.kind.objective as Milliseconds)
    const decision = line.offer(request, this._now)
    if (decision.kind === 'refuse') return this._refuse(endpoint, request, decision.retryAfter)
    if (decision.kind === 'start') return this._start(endpoint, request)
    for (const displaced of decision.displaced) this._refuse(endpoint, displaced, line.expectedWait(displaced, this._now))
  }

  private _start (endpoint: IReplayedEndpoint, request: ReplayedRequest): void {
    const { line, times, number } = endpoint
    const spread = 1 + SPREAD * (2 * this._random.fraction() - 1)
    const work = request.kind.meanWork * spread * (SPEEDS[number] ?? 1) * this._pattern.slowness(number, this._now)
    const left = request.deadlineAt - this._now
    // An endpoint gives up at the deadline.
    const duration = Math.min(work, left) as Milliseconds
    this._queue.after(duration, () => {
      line.release(request)
      const route = String(request.rank) as RouteName
      if (work <= left) times.record(route, duration)
      else times.recordLowerBound(route, duration)
      this._answer(endpoint, request, { kind: 'answered', answer: { status: work <= left ? 200 : 504, fields: [], body: NO_BODY } })
      this._startNext(endpoint)
    })
  }

  private _startNext (endpoint: IReplayedEndpoint): void {
    for (;;) {
      const { next, expired } = endpoint.line.next(this._now)
      for (const request of expired) this._refuse(endpoint, request, endpoint.line.expectedWait(request, this._now))
      if (next === undefined) return
      this._start(endpoint, next)
    }
  }

  private _refuse (endpoint: IReplayedEndpoint, request: ReplayedRequest, retryAfter: Milliseconds): void {
    this._answer(endpoint, request, { kind: 'refused', reason: 'overloaded', retryAfter })
  }

  /** Carries an outcome back to the caller's node, with the load of the endpoint. */
  private _answer ({ line, times }: IReplayedEndpoint, request: ReplayedRequest, outcome: AttemptOutcome): void {
    const { view, attempt } = request
    if (view === undefined || attempt === undefined) return
    const handled = this._now - attempt.startedAt as Milliseconds
    const occupied = line.running + line.waiting
    const load: IEndpointLoad = { occupied, slots: SLOTS, serviceTime: times.overall, failurePercent: 0, handled }
    this._queue.after(ROUND_TRIPS_MS[view.tier] / 2, () => {
      const now = this._now
      view.end(attempt)
      view.observe({ ...outcome, load }, now - attempt.startedAt as Milliseconds, now)
      if (outcome.kind === 'answered') return this._finish(request, this._judge(request, outcome.answer.status))
      request.refusalsForRoom++
      if (outcome.kind === 'refused') view.recordCapacityRefusal(request, outcome.retryAfter ?? NO_WAIT, now)
      this._send(request)
    })
  }

  private _judge (request: ReplayedRequest, status: number): ReplayEnd {
    if (status !== 200 || this._now > request.deadlineAt) return 'failed'
    return this._now <= request.objectiveAt ? 'on-time' : 'late'
  }

  private _finish (request: ReplayedRequest, end: ReplayEnd): void {
    request.end ??= end
    if (end === 'refused' && this._now >= WARM_UP_MS) this._longestHold = Math.max(this._longestHold, this._now - request.arrivedAt)
  }

  /** Requests that came too late to end are left out. */
  private _summarize (end: number): IReplayResult {
    const judged = this._requests.filter(({ deadlineAt }) => deadlineAt < end)
    const share = (of: readonly ReplayedRequest[], wanted: ReplayEnd): number => {
      return of.length === 0 ? 0 : PERCENT * of.filter(({ end }) => (end ?? 'failed') === wanted).length / of.length
    }
    const ranks = KINDS.map(({ rank }) => [rank, share(judged.filter((request) => request.rank === rank), 'on-time')] as const)
    return {
      requests: judged.length,
      onTime: share(judged, 'on-time'),
      late: share(judged, 'late'),
      refused: share(judged, 'refused'),
      failed: share(judged, 'failed'),
      repeats: this._repeats,
      abroad: this._abroad,
      longestHold: this._longestHold,
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
  return Math.floor(domain / DOMAINS_IN_REGION)
}

function tierOf (domain: number, endpoint: number): LocalityTier {
  if (domain === endpoint) return 0
  return regionOf(domain) === regionOf(endpoint) ? 1 : 2
}
