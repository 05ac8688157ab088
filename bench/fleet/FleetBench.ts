/** Creates benchmarks that run on a fleet of nodes in this process. */
import { Fleet } from '../../testing/fleet/Fleet.js'
import type { IBench, IBenchOptions, IFigure } from '../Types.js'

/** Implementation of a fleet benchmark; calls `report` with each figure. */
type RunOnFleet = (fleet: Fleet, options: IBenchOptions, report: (figure: IFigure) => void) => Promise<void>

/** Creates a benchmark with an empty fleet. `run` starts the nodes; all nodes are stopped at the end. */
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
