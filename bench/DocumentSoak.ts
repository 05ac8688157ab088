/** Long randomised run with all kinds of faults, all invariants enabled, and external checks after each recovery. */
import type { Milliseconds, ServiceName } from '../src/common/Types.js'
import type { Fleet } from '../testing/fleet/Fleet.js'
import { BOUNDS } from './Bounds.js'
import { fleetBench } from './fleet/FleetBench.js'
import { SETTLE_TIMEOUT_MS } from './fleet/Sizes.js'
import { DocumentSoakActions } from './fleet/DocumentSoakActions.js'
import { DocumentSoakModel } from './fleet/DocumentSoakModel.js'
import type { IBenchOptions, IFigure } from './Types.js'

/** Current number of upstream VMs, three per failure domain. */
const NODES = 18
/** Number of actions between two recoveries. */
const ACTIONS = 30
const QUICK_ACTIONS = 12
const ACTION_INTERVAL_MS = 800
const RECOVERY_TIMEOUT_MS = 30_000
/** Long enough for one round. */
const QUICK_MINUTES = 0.05
const MINUTE_MS = 60_000

/** Durations since the faults were cleared. */
interface IRecovery {
  /** Time until the newest version of every service is active on every node. */
  readonly convergedAfterMs: number
  /** Time until the reports state that as well. */
  readonly reportedAfterMs: number
}

/** Waits until the condition is met; returns the time since `start`, or `RECOVERY_TIMEOUT_MS` after a timeout. */
async function timeUntil (fleet: Fleet, start: number, isMet: () => Promise<boolean>): Promise<number> {
  while (performance.now() - start < RECOVERY_TIMEOUT_MS) {
    if (await isMet()) return performance.now() - start
    await fleet.clock.sleep(20 as Milliseconds)
  }
  return RECOVERY_TIMEOUT_MS
}

/** Runs one round of random actions, then recovers from all faults. */
async function runRound (fleet: Fleet, model: DocumentSoakModel, actions: DocumentSoakActions, length: number): Promise<IRecovery> {
  for (let count = 0; count < length; count++) {
    await actions.runOne()
    await fleet.clock.sleep(fleet.random.integer(ACTION_INTERVAL_MS) as Milliseconds)
    await model.checkReports()
  }
  await actions.recover()
  const start = performance.now()
  await actions.awaitSubmissions()
  const convergedAfterMs = await timeUntil(fleet, start, () => model.hasConverged())
  const reportedAfterMs = await timeUntil(fleet, start, () => model.isReportedComplete())
  return { convergedAfterMs, reportedAfterMs }
}

async function run (fleet: Fleet, options: IBenchOptions, report: (figure: IFigure) => void): Promise<void> {
  const model = new DocumentSoakModel(fleet)
  const actions = new DocumentSoakActions(fleet, model)
  const recoveries: IRecovery[] = []
  await fleet.add(NODES, () => 'service-0' as ServiceName)
  if (await fleet.until(() => fleet.isSettled, SETTLE_TIMEOUT_MS) === undefined) throw new Error('the fleet did not settle')
  model.watchAll()
  const end = performance.now() + (options.quick ? QUICK_MINUTES : options.minutes) * MINUTE_MS
  while (performance.now() < end) recoveries.push(await runRound(fleet, model, actions, options.quick ? QUICK_ACTIONS : ACTIONS))
  reportRun(recoveries, fleet, model, report)
  for (const [name, count] of [...actions.counts].sort()) report({ name: `actions-${name}`, value: count, unit: 'times' })
}

function reportRun (recoveries: readonly IRecovery[], fleet: Fleet, model: DocumentSoakModel, report: (figure: IFigure) => void): void {
  report({ name: 'recoveries', value: recoveries.length, unit: 'recoveries' })
  report({ name: 'agree-after-recovery-max', value: Math.max(...recoveries.map((each) => each.convergedAfterMs)), unit: 'ms', bound: BOUNDS.convergenceMs })
  report({ name: 'reported-after-recovery-max', value: Math.max(...recoveries.map((each) => each.reportedAfterMs)), unit: 'ms' })
  report({ name: 'breaches', value: fleet.breaches, unit: 'breaches of invariants', bound: BOUNDS.none })
  report({ name: 'steps-back', value: model.versionRegressions, unit: 'versions that fell, seen from outside', bound: BOUNDS.none })
  report({ name: 'double-versions', value: model.duplicateVersions, unit: 'versions accepted twice', bound: BOUNDS.none })
  report({ name: 'reports-ahead', value: model.overcountedReports, unit: 'reports that counted too much', bound: BOUNDS.none })
}

export const DOCUMENT_SOAK = fleetBench('document-soak', 'Long randomised run of changes, conflicting submissions, kills, pauses, partitions and faults of the store.', run)
