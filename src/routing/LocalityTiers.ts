/** Selects the endpoints that are near enough for a call. */
import type { ILocation, Timestamp } from '../common/Types.js'
import type { EndpointStatistics } from './EndpointStatistics.js'
import { LOCALITY_TIERS, type LocalityTier } from './Types.js'

/** Options of `LocalityTiers`. */
export interface ILocalityTiersOptions {
  /** Hysteresis: percentage points below the spill threshold at which a tier stops spilling. */
  readonly returnMarginPercent: number
}

/** Defaults of `LocalityTiers`. */
export const DEFAULT_LOCALITY_TIERS_OPTIONS: ILocalityTiersOptions = Object.freeze({ returnMarginPercent: 15 })

/** Returns the tier of `location` relative to `origin`. */
export function localityTier (origin: ILocation, location: ILocation): LocalityTier {
  if (origin.failureDomain === location.failureDomain) return 0
  return origin.region === location.region ? 1 : 2
}

/**
 * Adds the next tier of endpoints whenever the occupancy of the selected tiers exceeds the spill threshold; removes it
 * with hysteresis.
 */
export class LocalityTiers {
  private readonly _isSpilling: boolean[] = new Array<boolean>(LOCALITY_TIERS).fill(false)

  constructor (private readonly _options: ILocalityTiersOptions = DEFAULT_LOCALITY_TIERS_OPTIONS) {}

  /**
   * Returns the endpoints of the nearest tiers of `eligible` with free capacity. The occupancy is computed over all selected
   * tiers, so that the load of a spilling tier is balanced with that of the next tier.
   */
  public select (eligible: readonly EndpointStatistics[], spillAtPercent: number, now: Timestamp): readonly EndpointStatistics[] {
    let selected: readonly EndpointStatistics[] = []
    for (let tier = 0; tier < LOCALITY_TIERS; tier++) {
      const members = eligible.filter((candidate) => candidate.tier === tier)
      if (members.length === 0) continue
      selected = selected.length === 0 ? members : [...selected, ...members]
      if (!this._updateSpilling(tier, selected, spillAtPercent, now)) return selected
    }
    return selected
  }

  private _updateSpilling (tier: number, selected: readonly EndpointStatistics[], spillAtPercent: number, now: Timestamp): boolean {
    const occupancy = occupancyPercent(selected, now)
    const threshold = this._isSpilling[tier] === true ? spillAtPercent - this._options.returnMarginPercent : spillAtPercent
    const isSpilling = occupancy > threshold
    this._isSpilling[tier] = isSpilling
    return isSpilling
  }
}

/** Returns the estimated share of occupied slots, in percent; 100 if there are no slots. */
function occupancyPercent (candidates: readonly EndpointStatistics[], now: Timestamp): number {
  let load = 0
  let slots = 0
  for (const candidate of candidates) {
    load += candidate.estimatedLoad(now)
    slots += candidate.endpoint.slots
  }
  return slots === 0 ? 100 : load * 100 / slots
}
