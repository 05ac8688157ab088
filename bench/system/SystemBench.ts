/** Complete deployment of processes under kills, pauses, planned stops, platform faults and conflicting operators. */
import { RandomService } from '../../src/common/RandomService.js'
import { runTool } from '../../testing/demonstration/ControlTool.js'
import { Deployment, SERVICES } from '../../testing/demonstration/Deployment.js'
import { submitNew } from '../../testing/demonstration/Steps.js'
import { BOUNDS } from '../Bounds.js'
import type { IBench, IBenchOptions, IFigure } from '../Types.js'
import { countBreaches } from './Breaches.js'
import { CallLoad } from './CallLoad.js'
import { CallRecord } from './CallRecord.js'
import { Faults } from './Faults.js'
import { Operators } from './Operators.js'

const MS_PER_MINUTE = 60_000
const QUICK_MS = 12_000

type Report = (figure: IFigure) => void

/** Deployment, load, operators and faults of one run. */
interface ISystemRun {
  readonly deployment: Deployment
  readonly record: CallRecord
  readonly load: CallLoad
  readonly operators: Operators
  readonly faults: Faults
}

async function run (options: IBenchOptions, report: Report): Promise<void> {
  const deployment = new Deployment()
  // Calls, operators and faults use separate random generators, so that the faults of a seed do not depend on the speed of the calls.
  const callRandom = new RandomService(options.seed)
  const operatorRandom = new RandomService(options.seed + 1)
  const faultRandom = new RandomService(options.seed + 2)
  const record = new CallRecord()
  const systemRun = {
    deployment,
    record,
    load: new CallLoad(deployment, callRandom, record),
    operators: new Operators(deployment, operatorRandom),
    faults: new Faults(deployment, faultRandom)
  }
  try {
    await deployment.start()
    for (const { service } of SERVICES) await submitNew(deployment, service)
    await causeFaults(systemRun, options.quick ? QUICK_MS : options.minutes * MS_PER_MINUTE, report)
    reportCalls(systemRun, report)
    reportOperators(systemRun, report)
    report(atMost('invariant breaches at the end', await countBreaches(deployment), 'breaches', BOUNDS.none))
  } finally {
    const codes = await deployment.stop()
    for (const [position, code] of codes.entries()) {
      if (code !== 0) process.stderr.write(`exit code ${code}:\n${deployment.nodes[position]?.lastLines.join('\n')}\n`)
    }
    report(atMost('nodes that did not stop with exit code 0', codes.filter((code) => code !== 0).length, 'nodes', BOUNDS.none))
  }
}

async function causeFaults (systemRun: ISystemRun, durationMs: number, report: Report): Promise<void> {
  const { deployment, load, operators, faults } = systemRun
  await operators.start()
  load.start()
  const endAt = Date.now() + durationMs
  while (Date.now() < endAt) await faults.cause()
  await faults.waitForRestarts()
  await operators.stop()
  const startedAt = Date.now()
  const node = deployment.nodes[0]?.operatorAddress ?? ''
  const status = await runTool(node, ['status', '--wait', String(BOUNDS.convergenceMs / 1_000)])
  const elapsedMs = Date.now() - startedAt
  await load.stop()
  for (const [kind, count] of Object.entries(faults.counts)) report({ name: `faults: ${kind}`, value: count, unit: 'faults' })
  report(atMost('in force everywhere after the last fault', elapsedMs, 'ms', BOUNDS.convergenceMs))
  report(atMost('not in force in time', status.exitCode === 0 ? 0 : 1, 'times', BOUNDS.none))
  report(atMost('planned stops that failed', faults.failedStops, 'stops', BOUNDS.none))
  report({ name: 'longest return of a node', value: faults.maximumRestartMs, unit: 'ms' })
}

function reportCalls ({ deployment, record }: ISystemRun, report: Report): void {
  const figures = record.computeFigures(deployment)
  report({ name: 'reads', value: figures.reads, unit: 'calls' })
  report({ name: 'reads answered', value: percentOf(figures.readsAnswered, figures.reads), unit: '%' })
  report({ name: 'reads answered at nodes without process faults', value: percentOf(figures.protectedReadsAnswered, figures.protectedReads), unit: '%' })
  report(atMost('wrong or partial answers', figures.wrongResponses, 'answers', BOUNDS.none))
  report({ name: 'payments', value: figures.payments, unit: 'payments' })
  report({ name: 'payments answered', value: percentOf(figures.paymentsAnswered, figures.payments), unit: '%' })
  report(atMost('most executions of one payment', figures.maximumExecutions, 'executions', BOUNDS.executionsPerKey))
  report(atMost('payments that ran though each sending was not-run', figures.runAfterNotRun, 'payments', BOUNDS.none))
  report(atMost('payments answered that did not run', figures.answeredWithoutRun, 'payments', BOUNDS.none))
}

function reportOperators ({ operators }: ISystemRun, report: Report): void {
  report({ name: 'submissions accepted', value: operators.accepted, unit: 'submissions' })
  report({ name: 'submissions in conflict', value: operators.conflicts, unit: 'submissions' })
  report({ name: 'submissions without answer', value: operators.failedSubmissions, unit: 'submissions' })
  report(atMost('versions given to two submissions', operators.duplicateVersions, 'versions', BOUNDS.none))
}

function atMost (name: string, value: number, unit: string, bound: number): IFigure {
  return { name, value, unit, bound, direction: 'at-most' }
}

function percentOf (part: number, whole: number): number {
  return whole === 0 ? 0 : Math.round(part / whole * 1_000) / 10
}

export const SYSTEM_BENCH: IBench = {
  name: 'system',
  summary: 'Complete deployment of processes under kills, pauses, planned stops, platform faults and conflicting operators.',
  run
}
