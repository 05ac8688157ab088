/** Quantiles and fits over measured values. */

/** The value below which the share `quantile` of the values lies. */
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

/** Value at `size` of the straight line through the points, by least squares over `scale` of their sizes. */
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
