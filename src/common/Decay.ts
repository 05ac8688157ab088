/** Exponential decay of the weight of observations. */

/** Weight of an observation of the given age: 1 for a new one, halved with each half-life. Milliseconds; an age below 0 counts as 0. */
export function decayedWeight (age: number, halfLife: number): number {
  return 2 ** (-Math.max(0, age) / halfLife)
}
