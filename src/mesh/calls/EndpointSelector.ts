/** Selects the endpoint for a request. */
import type { IRandomService } from '../../common/Services.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { currentServiceTime } from '../exchange/ServiceTimeEstimate.js'
import type { EndpointView } from './EndpointView.js'

/** Weights of distance, load and risks in the selection. */
export interface IEndpointSelectorOptions {
  /** Extra response time that is accepted to avoid another failure domain or region, by locality tier. */
  readonly distanceCost: readonly [Milliseconds, Milliseconds, Milliseconds]
  /** Share of the service time that is added at a full endpoint, because concurrent requests slow each other down. */
  readonly contentionShare: number
  /** Multiple of the service time that is expected at an endpoint that is warming up. */
  readonly warmUpFactor: number
  /** Mean cost of an endpoint that has just appeared, alone or with its node, as a multiple of the typical service time. */
  readonly newCost: number
  /** Cost of a certain failure, as a multiple of the request's objective. */
  readonly failureCost: number
  /** Cost of a response that is certain to miss the objective, as a multiple of the request's objective. */
  readonly lateCost: number
  /** Random part of each estimate, so that nodes with the same view do not all select the same endpoint. */
  readonly noise: number
}

/** Defaults of `EndpointSelector`. Traffic inside a region is nearly free; traffic between regions is billed by volume. */
export const DEFAULT_ENDPOINT_SELECTOR_OPTIONS: IEndpointSelectorOptions = Object.freeze({
  distanceCost: Object.freeze([0, 60, 300]) as unknown as readonly [Milliseconds, Milliseconds, Milliseconds],
  contentionShare: 0.3,
  warmUpFactor: 2,
  newCost: 2,
  failureCost: 1.5,
  lateCost: 0.5,
  noise: 0.04
})

/** Ratio of expected to remaining time up to which a response is assumed on time, and from which it is assumed late. */
const LIKELY_ON_TIME_SHARE = 0.9
const SURELY_LATE_SHARE = 1.5

/** Response time target of a request. */
export interface IResponseTarget {
  /** Objective of the route, counted from the arrival of the request. */
  readonly objective: Milliseconds
  /** Time until the objective expires; negative afterwards. */
  readonly left: Milliseconds
}

/** Share of the typical service time that is assumed for an endpoint without observations, so that each endpoint is tried soon. */
const UNKNOWN_SHARE = 0.5
/** Service time that is assumed if none of the endpoints has been observed. */
const UNKNOWN_SERVICE_TIME_MS = 100

/**
 * Selects the endpoint with the earliest expected response, where distance and the risk of a late or failed response are counted as
 * additional time. This handles endpoints of different speed, bursts in one failure domain, slow or starting endpoints, returning nodes
 * and endpoints that fail a part of their requests: each of them changes the expected time, and no endpoint is excluded permanently.
 */
export class EndpointSelector {
  private readonly _options: IEndpointSelectorOptions

  constructor (private readonly _random: IRandomService, options: Partial<IEndpointSelectorOptions> = {}) {
    this._options = { ...DEFAULT_ENDPOINT_SELECTOR_OPTIONS, ...options }
  }

  /** Selects an endpoint; undefined if there is no candidate. */
  public choose (candidates: readonly EndpointView[], target: IResponseTarget, now: Timestamp): EndpointView | undefined {
    const typical = typicalServiceTime(candidates)
    let best: EndpointView | undefined
    let bestCost = Infinity
    for (const candidate of candidates) {
      const cost = this._cost(candidate, typical, target, now)
      if (cost >= bestCost) continue
      best = candidate
      bestCost = cost
    }
    return best
  }

  /** Expected time until the response of one more request, without the cost of distance. */
  public expectedTime (view: EndpointView, typical: number, now: Timestamp): number {
    const { contentionShare, warmUpFactor } = this._options
    const occupied = view.occupied(now)
    const known = view.serviceTimeAt(typical, now)
    const service = known === undefined ? unobservedServiceTime(view, typical) : known * (view.isWarming(now) ? warmUpFactor : 1)
    const wait = Math.max(0, occupied + 1 - view.slots) * service / view.slots
    const contention = Math.min(1, occupied / view.slots) ** 2 * contentionShare * service
    return currentServiceTime(wait + service + contention + view.roundTrip, view.startTimes(), now)
  }

  private _cost (view: EndpointView, typical: number, { objective, left }: IResponseTarget, now: Timestamp): number {
    const { distanceCost, failureCost, lateCost, newCost, noise } = this._options
    const time = this.expectedTime(view, typical, now) * (1 + noise * this._random.fraction())
    const risk = view.failureShare(now) * failureCost + lateResponseRisk(time, left) * lateCost
    // Random for each request, so that the share of all nodes together grows gradually and they do not all switch at the same time.
    const newness = view.newness(now) * newCost * typical * this._random.fraction() * 2
    return time + distanceCost[view.tier] + newness + risk * objective
  }
}

/** Only the first request gets the optimistic estimate; otherwise the endpoint that is slowest to report its load would be preferred. */
function unobservedServiceTime (view: EndpointView, typical: number): number {
  return view.outstanding === 0 ? typical * UNKNOWN_SHARE : typical
}

/** Increases from 0 to 1 as the expected time approaches the remaining time; 0 after the objective, when all endpoints are equally late. */
function lateResponseRisk (time: number, left: number): number {
  if (left <= 0) return 0
  return Math.min(1, Math.max(0, (time / left - LIKELY_ON_TIME_SHARE) / (SURELY_LATE_SHARE - LIKELY_ON_TIME_SHARE)))
}

/** Mean service time of the observed endpoints. */
export function typicalServiceTime (views: readonly EndpointView[]): number {
  let sum = 0
  let count = 0
  for (const { serviceTime } of views) {
    if (serviceTime === undefined) continue
    sum += serviceTime
    count++
  }
  return count === 0 ? UNKNOWN_SERVICE_TIME_MS : sum / count
}
