/** Which endpoints are near enough for a call. */
import type { ILocation, Timestamp } from '../common/Types.js'
import type { EndpointStatistics } from './EndpointStatistics.js'
import { LOCALITY_TIERS, type LocalityTier } from './Types.js'

/** How calls return to a nearer tier. */
export interface ILocalityTiersOptions {
  /** Percentage points below the spill threshold at which a tier keeps its calls to itself again. */
  readonly returnMarginPercent: number
}

/** Defaults of `LocalityTiers`. */
export const DEFAULT_LOCALITY_TIERS_OPTIONS: ILocalityTiersOptions = Object.freeze({ returnMarginPercent: 15 })

/** The tier of a location as seen from `origin`. */
export function localityTier (origin: ILocation, location: ILocation): LocalityTier {
  if (origin.failureDomain === location.failureDomain) return 0
  return origin.region === location.region ? 1 : 2
}

/** Widens the set of endpoints by one tier whenever the set so far is too full; narrows it with hysteresis. */
export class LocalityTiers {
  private readonly _isSpilling: boolean[] = new Array<boolean>(LOCALITY_TIERS).fill(false)

  constructor (private readonly _options: ILocalityTiersOptions = DEFAULT_LOCALITY_TIERS_OPTIONS) {}

  /**
   * The nearest endpoints that have room, taken from `eligible`.
   * Occupancy is that of the whole set so far, so a tier that spills evens out with the next one.
   */
  public select (eligible: readonly EndpointStatistics[], spillAtPercent: number, now: Timestamp): readonly EndpointStatistics[] {
    let selected: readonly EndpointStatistics[] = []
    for (let tier = 0; tier < LOCALITY_TIERS; tier++) {
      const members = eligible.filter((candidate) => candidate.tier === tier)
      if (members.length === 0) continue
      selected = selected.length === 0 ? members : [...selected, ...members]
      if (!this._mustSpill(tier, selected, spillAtPercent, now)) return selected
    }
    return selected
  }

  private _mustSpill (tier: number, selected: readonly EndpointStatistics[], spillAtPercent: number, now: Timestamp): boolean {
    const occupancy = occupancyPercent(selected, now)
    const threshold = this._isSpilling[tier] === true ? spillAtPercent - this._options.returnMarginPercent : spillAtPercent
    const isSpilling = occupancy > threshold
    this._isSpilling[tier] = isSpilling
    return isSpilling
  }
}

/** Share of the slots that are thought to be in use, in percent; 100 if there are no slots. */
function occupancyPercent (candidates: readonly EndpointStatistics[], now: Timestamp): number {
  let load = 0
  let slots = 0
  for (const candidate of candidates) {
    load += candidate.estimatedLoad(now)
    slots += candidate.endpoint.slots
  }
  return slots === 0 ? 100 : load * 100 / slots
}
