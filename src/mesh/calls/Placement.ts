/** Decides which endpoint gets a request. */
import type { IRandomService } from '../../common/Services.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import type { EndpointView } from './EndpointView.js'

/** What distance is worth, and how load is weighed. */
export interface IPlacementOptions {
  /** Time that an answer may take longer to save the way to another failure domain or region, by tier. */
  readonly distanceCost: readonly [Milliseconds, Milliseconds, Milliseconds]
  /** Share of a request's usual time that a full endpoint adds by working on many at once. */
  readonly crowdingShare: number
  /** Multiple of the usual time at an endpoint that has just started. */
  readonly warmUpFactor: number
  /** Part of a request's objective that a sure failure costs. */
  readonly failureCost: number
  /** Random part of each estimate, so that nodes with the same view do not all choose alike. */
  readonly noise: number
}

/** Defaults of `Placement`. Traffic inside a region is nearly free, between regions it is paid for by volume. */
export const DEFAULT_PLACEMENT_OPTIONS: IPlacementOptions = Object.freeze({
  distanceCost: Object.freeze([0, 60, 300]) as unknown as readonly [Milliseconds, Milliseconds, Milliseconds],
  crowdingShare: 0.3,
  warmUpFactor: 2,
  failureCost: 1.5,
  noise: 0.04
})

/** Share of the typical time that is hoped for at an endpoint that was never tried, so that each one is tried soon. */
const UNKNOWN_SHARE = 0.5
/** Time taken for a request of a service of which nothing has been observed. */
const UNKNOWN_SERVICE_TIME_MS = 100

/**
 * Takes the endpoint at which the answer is expected first, distance counted as time. Answers endpoints of different
 * speed, bursts in one failure domain, endpoints that are slow, that start, or that fail a part of their requests:
 * all of them change the expected time, and none is ever shut out for good.
 */
export class Placement {
  private readonly _options: IPlacementOptions

  constructor (private readonly _random: IRandomService, options: Partial<IPlacementOptions> = {}) {
    this._options = { ...DEFAULT_PLACEMENT_OPTIONS, ...options }
  }

  /** Undefined if there is no candidate. `objective`: of the request's route. */
  public choose (candidates: readonly EndpointView[], objective: Milliseconds, now: Timestamp): EndpointView | undefined {
    const typical = typicalServiceTime(candidates)
    let best: EndpointView | undefined
    let bestCost = Infinity
    for (const candidate of candidates) {
      const cost = this._cost(candidate, typical, objective, now)
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
    const service = view.serviceTime === undefined ? typical * UNKNOWN_SHARE : view.serviceTime * (view.isWarming(now) ? warmUpFactor : 1)
    const wait = Math.max(0, occupied + 1 - view.slots) * service / view.slots
    const crowding = Math.min(1, occupied / view.slots) ** 2 * crowdingShare * service
    return wait + service + crowding + view.roundTrip
  }

  private _cost (view: EndpointView, typical: number, objective: Milliseconds, now: Timestamp): number {
    const { distanceCost, failureCost, noise } = this._options
    const time = this.expectedTime(view, typical, now) * (1 + noise * this._random.fraction())
    return time + distanceCost[view.tier] + view.failureShare(now) * failureCost * objective
  }
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
