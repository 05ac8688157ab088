/** Quantiles and linear fits of measured values. */

/** Quantile of the values, by the nearest-rank method. */
export function quantileOf (values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  const position = Math.ceil(quantile * sorted.length) - 1
  return sorted[Math.max(0, position)] ?? Number.NaN
}

/** One measurement at one size. */
export interface IPoint {
  readonly size: number
  readonly value: number
}

/** Linear least-squares fit of the values over the scaled sizes, evaluated at `size`. */
export function extrapolate (points: readonly IPoint[], size: number, scale: (size: number) => number): number {
  const xs = points.map((point) => scale(point.size))
  const meanX = mean(xs)
  const meanY = mean(points.map((point) => point.value))
  const spread = xs.reduce((sum, x) => sum + (x - meanX) ** 2, 0)
  const slope = points.reduce((sum, point, position) => sum + (xs[position] - meanX) * (point.value - meanY), 0) / spread
  return meanY + slope * (scale(size) - meanX)
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
