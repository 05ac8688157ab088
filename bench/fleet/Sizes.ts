/** Fleet sizes of the benchmarks, and the design size. */

/** Number of nodes of each measured fleet. */
export const FLEET_SIZES: readonly number[] = Object.freeze([12, 24, 48, 96])

/** Number of nodes of each fleet in a quick run. */
export const QUICK_FLEET_SIZES: readonly number[] = Object.freeze([12, 24])

/** Number of nodes of the fleet in a quick run that measures bytes. */
export const QUICK_BYTE_SIZES: readonly number[] = Object.freeze([12])

/** Size and rates of the deployment that the mesh is designed for. */
export const DESIGN = Object.freeze({
  nodes: 6_500,
  services: 360,
  changesPerDay: 4_500,
  /** Number of nodes that fail, restart or are replaced. */
  restartsPerDay: 1_816,
  secondsPerDay: 86_400
})

/** Timeout for a fleet to settle after its start. */
export const SETTLE_TIMEOUT_MS = 60_000
