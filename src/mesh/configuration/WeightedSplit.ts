/** Divides the requests of a route among its services by weight. */
import type { IRandomService } from '../../common/Services.js'
import type { RouteName, ServiceName } from '../../common/Types.js'
import type { IMeshRoute } from '../Types.js'

/** Number of requests after which weights given in hundredths repeat their sequence of services, at the latest. */
const MAXIMUM_ROUND_LENGTH = 100

/**
 * Smooth weighted round robin: after any number of requests the number of requests to each service differs from its share by
 * less than one. Random choice would deviate too far where shares are measured over few requests. Each node starts at a random
 * point of the sequence: new weights reach all nodes at the same moment, so otherwise all of them would start with the same service.
 */
export class WeightedSplit {
  private readonly _credits = new Map<RouteName, Map<ServiceName, number>>()
  private readonly _shares = new Map<RouteName, IMeshRoute['shares']>()

  constructor (private readonly _random: IRandomService) {}

  /** Selects the service for the next request of the route. */
  public choose (route: IMeshRoute): ServiceName {
    const [only] = route.shares
    if (only !== undefined && route.shares.length === 1) return only.service
    return chooseNext(route, this._creditsOf(route))
  }

  /** Deletes the credits of routes that are not in `names`. */
  public retain (names: ReadonlySet<RouteName>): void {
    for (const name of this._credits.keys()) {
      if (names.has(name)) continue
      this._credits.delete(name)
      this._shares.delete(name)
    }
  }

  /** Credits of the services of a route; reset when the weights change. */
  private _creditsOf (route: IMeshRoute): Map<ServiceName, number> {
    const known = this._credits.get(route.name)
    if (known !== undefined && areSharesEqual(this._shares.get(route.name), route.shares)) return known
    const credits = new Map<ServiceName, number>()
    this._credits.set(route.name, credits)
    this._shares.set(route.name, route.shares)
    for (let skipped = this._random.integer(MAXIMUM_ROUND_LENGTH); skipped > 0; skipped--) chooseNext(route, credits)
    return credits
  }
}

/** Selects the service with the highest credit and subtracts the total weight from its credit. */
function chooseNext (route: IMeshRoute, credits: Map<ServiceName, number>): ServiceName {
  let total = 0
  let chosen = route.shares[0] as IMeshRoute['shares'][number]
  for (const share of route.shares) {
    total += share.weight
    const credit = (credits.get(share.service) ?? 0) + share.weight
    credits.set(share.service, credit)
    if (credit > (credits.get(chosen.service) ?? 0)) chosen = share
  }
  credits.set(chosen.service, (credits.get(chosen.service) ?? 0) - total)
  return chosen.service
}

function areSharesEqual (left: IMeshRoute['shares'] | undefined, right: IMeshRoute['shares']): boolean {
  if (left === right) return true
  if (left === undefined || left.length !== right.length) return false
  return left.every((share, index) => share.service === right[index]?.service && share.weight === right[index]?.weight)
}
