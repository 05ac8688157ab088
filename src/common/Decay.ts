/** How much an observation still counts. */

/** Weight left after `age`, 1 for a new one and halved with each half-life; both in milliseconds. An age below 0 counts as 0. */
export function remainingWeight (age: number, halfLife: number): number {
  return 2 ** (-Math.max(0, age) / halfLife)
}
