/** Sizes at which the distribution is measured, and the size to design for. */

/** Nodes of the fleets that are measured. */
export const FLEET_SIZES: readonly number[] = Object.freeze([12, 24, 48, 96])

/** Nodes of the fleets of a quick run. */
export const QUICK_FLEET_SIZES: readonly number[] = Object.freeze([12, 24])

/** Nodes of the one fleet of a quick run that measures bytes. */
export const QUICK_BYTE_SIZES: readonly number[] = Object.freeze([24])

/** The size to design for. */
export const DESIGN = Object.freeze({
  nodes: 6_500,
  services: 360,
  changesPerDay: 4_500,
  /** Nodes that fail, or are restarted or replaced. */
  restartsPerDay: 1_816,
  secondsPerDay: 86_400
})

/** Longest wait for a fleet to settle after its start. */
export const SETTLE_LIMIT_MS = 60_000
