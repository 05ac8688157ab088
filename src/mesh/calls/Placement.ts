/** Decides which endpoint gets a request. */
import type { IRandomService } from '../../common/Services.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { presentTime } from '../exchange/SlowAge.js'
import type { EndpointView } from './EndpointView.js'

/** What distance is worth, and how load is weighed. */
export interface IPlacementOptions {
  /** Time that an answer may take longer to save the way to another failure domain or region, by tier. */
  readonly distanceCost: readonly [Milliseconds, Milliseconds, Milliseconds]
  /** Share of a request's usual time that a full endpoint adds by working on many at once. */
  readonly crowdingShare: number
  /** Multiple of the usual time at an endpoint that has just started. */
  readonly warmUpFactor: number
  /** Usual times that an endpoint costs which has appeared just now, with its node or without. */
  readonly newCost: number
  /** Part of a request's objective that a sure failure costs. */
  readonly failureCost: number
  /** Part of a request's objective that an answer costs which is sure to be late. */
  readonly lateCost: number
  /** Random part of each estimate, so that nodes with the same view do not all choose alike. */
  readonly noise: number
}

/** Defaults of `Placement`. Traffic inside a region is nearly free, between regions it is paid for by volume. */
export const DEFAULT_PLACEMENT_OPTIONS: IPlacementOptions = Object.freeze({
  distanceCost: Object.freeze([0, 60, 300]) as unknown as readonly [Milliseconds, Milliseconds, Milliseconds],
  crowdingShare: 0.3,
  warmUpFactor: 2,
  newCost: 2,
  failureCost: 1.5,
  lateCost: 0.5,
  noise: 0.04
})

/** Shares of the time that is left until the objective: up to the first an answer is seldom late, from the second on it is. */
const LIKELY_ON_TIME_SHARE = 0.9
const SURELY_LATE_SHARE = 1.5

/** What a request wants of its placement. */
export interface IPlacementWish {
  /** Time within which an answer is worth most, from the request's arrival. */
  readonly objective: Milliseconds
  /** Left of it; below 0 once it is over. */
  readonly left: Milliseconds
}

/** Share of the typical time that is hoped for at an endpoint that was never tried, so that each one is tried soon. */
const UNKNOWN_SHARE = 0.5
/** Time taken for a request of a service of which nothing has been observed. */
const UNKNOWN_SERVICE_TIME_MS = 100

/**
 * Takes the endpoint at which the answer is expected first, distance and the risk of a late or failed answer counted as
 * time. Answers endpoints of different speed, bursts in one
 * failure domain, endpoints that are slow, that start, whose nodes come back, or that fail a part of their requests: all of
 * them change the expected time, and none is ever shut out for good.
 */
export class Placement {
  private readonly _options: IPlacementOptions

  constructor (private readonly _random: IRandomService, options: Partial<IPlacementOptions> = {}) {
    this._options = { ...DEFAULT_PLACEMENT_OPTIONS, ...options }
  }

  /** Undefined if there is no candidate. */
  public choose (candidates: readonly EndpointView[], wish: IPlacementWish, now: Timestamp): EndpointView | undefined {
    const typical = typicalServiceTime(candidates)
    let best: EndpointView | undefined
    let bestCost = Infinity
    for (const candidate of candidates) {
      const cost = this._cost(candidate, typical, wish, now)
      if (cost >= bestCost) continue
      best = candidate
      bestCost = cost
    }
    return best
  }

  /** Time until the answer of one more request, distance aside. */
  public expectedTime (view: EndpointView, typical: number, now: Timestamp): number {
    const { crowdingShare, warmUpFactor } = this._options
    const occupied = view.occupied(now)
    const known = view.serviceTimeAt(typical, now)
    const service = known === undefined ? unknownTime(view, typical) : known * (view.isWarming(now) ? warmUpFactor : 1)
    const wait = Math.max(0, occupied + 1 - view.slots) * service / view.slots
    const crowding = Math.min(1, occupied / view.slots) ** 2 * crowdingShare * service
    return presentTime(wait + service + crowding + view.roundTrip, view.startTimes(), now)
  }

  private _cost (view: EndpointView, typical: number, { objective, left }: IPlacementWish, now: Timestamp): number {
    const { distanceCost, failureCost, lateCost, newCost, noise } = this._options
    const time = this.expectedTime(view, typical, now) * (1 + noise * this._random.fraction())
    const risk = view.failureShare(now) * failureCost + chanceOfLateness(time, left) * lateCost
    // Drawn anew for each request, so that all nodes together send a share that grows, and not everything at one moment.
    const newness = view.newness(now) * newCost * typical * this._random.fraction() * 2
    return time + distanceCost[view.tier] + newness + risk * objective
  }
}

/** Little is hoped for beyond the first request, or the endpoint that is slowest to tell of itself would be liked best. */
function unknownTime (view: EndpointView, typical: number): number {
  return view.outstanding === 0 ? typical * UNKNOWN_SHARE : typical
}

/** Grows from 0 to 1 as the expected time nears what is left; 0 if nothing is, since all endpoints are alike then. */
function chanceOfLateness (time: number, left: number): number {
  if (left <= 0) return 0
  return Math.min(1, Math.max(0, (time / left - LIKELY_ON_TIME_SHARE) / (SURELY_LATE_SHARE - LIKELY_ON_TIME_SHARE)))
}

/** Mean over the endpoints that have been observed. */
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
