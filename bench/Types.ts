/** Types of benchmarks and figures. */

/** A measured figure, printed as one JSON line. */
export interface IFigure {
  readonly name: string
  readonly value: number
  readonly unit: string
  /** Bound from the stated targets; undefined for a figure that is only informative. */
  readonly bound?: number
  /** Whether the value must be at most or at least the bound. */
  readonly direction?: 'at-most' | 'at-least'
}

/** A figure with the fields that are added when it is printed. */
export interface IPrintedFigure extends IFigure {
  readonly bench: string
  /** Whether the figure is within its bound; undefined without a bound. */
  readonly holds?: boolean
  readonly seed: number
}

/** Options of a benchmark run. */
export interface IBenchOptions {
  readonly seed: number
  /** Also measures the baseline of the benchmark in the same run. */
  readonly baseline: boolean
  /** Runs a shorter version, for regression checks. */
  readonly quick: boolean
  /** Duration of long-running benchmarks, in minutes. */
  readonly minutes: number
}

/** A benchmark. */
export interface IBench {
  readonly name: string
  readonly summary: string
  /** Runs the benchmark and calls `report` with each figure as soon as it is available. */
  run (options: IBenchOptions, report: (figure: IFigure) => void): Promise<void>
}
