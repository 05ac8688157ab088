/** A benchmark on a fleet of nodes within this process. */
import { Fleet } from '../../testing/fleet/Fleet.js'
import type { IBench, IBenchOptions, IFigure } from '../Types.js'

/** Does the work of a benchmark; calls `report` with each figure. */
type RunOnFleet = (fleet: Fleet, options: IBenchOptions, report: (figure: IFigure) => void) => Promise<void>

/** Starts no node itself; every node that `run` starts is stopped at the end. */
export function fleetBench (name: string, summary: string, run: RunOnFleet): IBench {
  return Object.freeze({
    name,
    summary,
    run: async (options: IBenchOptions, report: (figure: IFigure) => void): Promise<void> => {
      const fleet = new Fleet({ seed: options.seed })
      try {
        await run(fleet, options, report)
      } finally {
        await fleet.stop()
      }
    }
  })
}
