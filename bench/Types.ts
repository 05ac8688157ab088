/** Shapes of benchmarks and of their figures. */

/** One figure, printed as one JSON line. */
export interface IFigure {
  readonly name: string
  readonly value: number
  readonly unit: string
  /** Bound from the stated targets; undefined where the figure only informs. */
  readonly bound?: number
  /** Whether the value must be at most or at least the bound. */
  readonly direction?: 'at-most' | 'at-least'
}

/** A figure as it is printed. */
export interface IPrintedFigure extends IFigure {
  readonly bench: string
  /** Undefined for a figure without a bound. */
  readonly holds?: boolean
  readonly seed: number
}

/** Arguments of a benchmark run. */
export interface IBenchOptions {
  readonly seed: number
  /** Also measures the named simpler way in the same run. */
  readonly baseline: boolean
  /** A shorter run for the regression gate. */
  readonly quick: boolean
  /** Length of long runs. */
  readonly minutes: number
}

/** One benchmark. */
export interface IBench {
  readonly name: string
  readonly summary: string
  /** Calls `report` with each figure as soon as it is known. */
  run (options: IBenchOptions, report: (figure: IFigure) => void): Promise<void>
}
