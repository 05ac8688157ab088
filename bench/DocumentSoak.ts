/** A long randomised run with every fault, all invariants on, and checks from outside after each recovery. */
import type { Milliseconds, ServiceName } from '../src/common/Types.js'
import type { Fleet } from '../testing/fleet/Fleet.js'
import { BOUNDS } from './Bounds.js'
import { fleetBench } from './fleet/FleetBench.js'
import { SETTLE_LIMIT_MS } from './fleet/Sizes.js'
import { DocumentSoakActions } from './fleet/DocumentSoakActions.js'
import { DocumentSoakModel } from './fleet/DocumentSoakModel.js'
import type { IBenchOptions, IFigure } from './Types.js'

/** Upstream VMs of today, three a failure domain. */
const NODES = 18
/** Actions between two recoveries. */
const ACTIONS = 30
const QUICK_ACTIONS = 12
const ACTION_INTERVAL_MS = 800
const LIMIT_MS = 30_000
/** One round. */
const QUICK_MINUTES = 0.05
const MINUTE_MS = 60_000

/** Times from the end of the faults. */
interface IRecovery {
  /** Until every node has the newest version of every service in force. */
  readonly agreed: number
  /** Until the reports say so, too. */
  readonly reported: number
}

/** Time from `start` until the condition holds; `LIMIT_MS` if it does not. */
async function timeUntil (fleet: Fleet, start: number, holds: () => Promise<boolean>): Promise<number> {
  while (performance.now() - start < LIMIT_MS) {
    if (await holds()) return performance.now() - start
    await fleet.clock.sleep(20 as Milliseconds)
  }
  return LIMIT_MS
}

/** One round of faults and the recovery from them. */
async function runRound (fleet: Fleet, model: DocumentSoakModel, actions: DocumentSoakActions, length: number): Promise<IRecovery> {
  for (let count = 0; count < length; count++) {
    await actions.runOne()
    await fleet.clock.sleep(fleet.random.integer(ACTION_INTERVAL_MS) as Milliseconds)
    await model.checkReports()
  }
  await actions.recover()
  const start = performance.now()
  await actions.awaitSubmissions()
  const agreed = await timeUntil(fleet, start, () => model.agrees())
  const reported = await timeUntil(fleet, start, () => model.isReportedComplete())
  return { agreed, reported }
}

async function run (fleet: Fleet, options: IBenchOptions, report: (figure: IFigure) => void): Promise<void> {
  const model = new DocumentSoakModel(fleet)
  const actions = new DocumentSoakActions(fleet, model)
  const recoveries: IRecovery[] = []
  await fleet.add(NODES, () => 'service-0' as ServiceName)
  if (await fleet.until(() => fleet.isSettled, SETTLE_LIMIT_MS) === undefined) throw new Error('the fleet did not settle')
  model.watchAll()
  const end = performance.now() + (options.quick ? QUICK_MINUTES : options.minutes) * MINUTE_MS
  while (performance.now() < end) recoveries.push(await runRound(fleet, model, actions, options.quick ? QUICK_ACTIONS : ACTIONS))
  reportRun(recoveries, fleet, model, report)
  for (const [name, count] of [...actions.counts].sort()) report({ name: `actions-${name}`, value: count, unit: 'times' })
}

function reportRun (recoveries: readonly IRecovery[], fleet: Fleet, model: DocumentSoakModel, report: (figure: IFigure) => void): void {
  report({ name: 'recoveries', value: recoveries.length, unit: 'recoveries' })
  report({ name: 'agree-after-recovery-max', value: Math.max(...recoveries.map((each) => each.agreed)), unit: 'ms', bound: BOUNDS.convergenceMs })
  report({ name: 'reported-after-recovery-max', value: Math.max(...recoveries.map((each) => each.reported)), unit: 'ms' })
  report({ name: 'breaches', value: fleet.breaches, unit: 'breaches of invariants', bound: BOUNDS.none })
  report({ name: 'steps-back', value: model.stepsBack, unit: 'versions that fell, seen from outside', bound: BOUNDS.none })
  report({ name: 'double-versions', value: model.doubleVersions, unit: 'versions accepted twice', bound: BOUNDS.none })
  report({ name: 'reports-ahead', value: model.reportsAhead, unit: 'reports that counted too much', bound: BOUNDS.none })
}

export const DOCUMENT_SOAK = fleetBench('document-soak', 'A long randomised run of changes, races, kills, pauses, cuts and faults of the store.', run)
