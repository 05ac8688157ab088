/** Divides the requests of a route among its services by weight. */
import type { IRandomService } from '../../common/Services.js'
import type { RouteName, ServiceName } from '../../common/Types.js'
import type { IMeshRoute } from '../Types.js'

/** A round of weights in hundredths has at most as many requests. */
const ROUND = 100

/**
 * Smooth weighted round robin: after any number of requests each service's part is off by less than one request.
 * Answers a load in which parts are measured over few requests, where random choice would stray too far. Each node begins
 * anywhere in the round: with new weights all of them begin at the same moment.
 */
export class WeightedSplit {
  private readonly _credits = new Map<RouteName, Map<ServiceName, number>>()
  private readonly _shares = new Map<RouteName, IMeshRoute['shares']>()

  constructor (private readonly _random: IRandomService) {}

  /** Service for the next request of the route. */
  public choose (route: IMeshRoute): ServiceName {
    const [only] = route.shares
    if (only !== undefined && route.shares.length === 1) return only.service
    return chooseNext(route, this._creditsOf(route))
  }

  /** Drops routes that are not in `names`. */
  public retain (names: ReadonlySet<RouteName>): void {
    for (const name of this._credits.keys()) {
      if (names.has(name)) continue
      this._credits.delete(name)
      this._shares.delete(name)
    }
  }

  /** Credits begin anew when the weights change. */
  private _creditsOf (route: IMeshRoute): Map<ServiceName, number> {
    const known = this._credits.get(route.name)
    if (known !== undefined && isSameShares(this._shares.get(route.name), route.shares)) return known
    const credits = new Map<ServiceName, number>()
    this._credits.set(route.name, credits)
    this._shares.set(route.name, route.shares)
    for (let skipped = this._random.integer(ROUND); skipped > 0; skipped--) chooseNext(route, credits)
    return credits
  }
}

/** The service that has waited longest by its weight; its credit is used up. */
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

function isSameShares (left: IMeshRoute['shares'] | undefined, right: IMeshRoute['shares']): boolean {
  if (left === right) return true
  if (left === undefined || left.length !== right.length) return false
  return left.every((share, index) => share.service === right[index]?.service && share.weight === right[index]?.weight)
}
