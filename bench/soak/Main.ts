/** `npm run soak -- [--seed N] [--minutes M] [--nodes N] [--seeds N] [--regressions]`: the real programs under faults from outside. */
import { cp, mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { cac } from 'cac'
import { RandomService } from '../../src/common/RandomService.js'
import { LateReaders } from './LateReaders.js'
import { Promises } from './Promises.js'
import { REGRESSION_SEEDS } from './RegressionSeeds.js'
import { SoakCallers } from './SoakCallers.js'
import { sleep, SoakDeployment } from './SoakDeployment.js'
import { SoakFaults } from './SoakFaults.js'
import type { IBreach } from './Types.js'

const DEFAULT_SEED = 1
const DEFAULT_MINUTES = 1
const DEFAULT_NODES = 9
/** Where logs of failed runs are kept, below the folder of the run. */
const LOG_FOLDER = '.soak'
const SIGNALS = ['SIGINT', 'SIGTERM'] as const
const MS_PER_MINUTE = 60_000
/** Distance between the seeds of callers and faults. */
const FAULT_SEEDS = 1_000_000
/** Time after the last fault until service is as before. */
const RECOVERY_MS = 6_000
const CALM_MS = 3_000
/** Details printed of each promise. */
const PRINTED_DETAILS = 3
const EXIT_KEPT = 0
const EXIT_BROKEN = 1

/** What one run is given. */
interface ISoakOptions {
  readonly seed: number
  readonly minutes: number
  readonly nodes: number
}

/** One run; gives the promises that were not kept. */
async function runSeed ({ seed, minutes, nodes }: ISoakOptions): Promise<readonly IBreach[]> {
  const folder = await mkdtemp(join(tmpdir(), 'savoryknot-soak-'))
  const deployment = new SoakDeployment()
  // Callers and faults draw from numbers of their own, so that the faults of a seed do not depend on the speed of the calls.
  const callers = new SoakCallers(deployment, new RandomService(seed))
  const faults = new SoakFaults(deployment, new RandomService(seed + FAULT_SEEDS))
  const lateReaders = new LateReaders(deployment, callers, new RandomService(seed + 2 * FAULT_SEEDS))
  const onSignal = (): void => endAtOnce(deployment)
  for (const signal of SIGNALS) process.once(signal, onSignal)
  try {
    await deployment.start(nodes, folder)
    callers.start()
    faults.start()
    lateReaders.start()
    await sleep(minutes * MS_PER_MINUTE)
    await Promise.all([faults.stop(), lateReaders.stop()])
    await sleep(RECOVERY_MS)
    await lateReaders.stopInCalm()
    await sleep(RECOVERY_MS)
    const calmFrom = deployment.now()
    await sleep(CALM_MS)
    await callers.stop()
    const breaches = new Promises(deployment).check(calmFrom)
    printRun(seed, deployment, new Map([...faults.counts, ['late reader', lateReaders.count]]), breaches)
    if (breaches.length > 0) await keepLogs(seed, folder)
    return breaches
  } finally {
    await deployment.end()
    for (const signal of SIGNALS) process.off(signal, onSignal)
    await rm(folder, { recursive: true })
  }
}

/** The logs of a run that failed; earlier ones of the same seed are replaced. */
async function keepLogs (seed: number, folder: string): Promise<void> {
  const kept = join(LOG_FOLDER, `seed-${seed}`)
  await rm(kept, { recursive: true, force: true })
  await cp(folder, kept, { recursive: true })
  process.stdout.write(`  logs: ${kept}; savoryknotctl explain tells of a request\n`)
}

/** Leaves no process behind when the run is broken off. */
function endAtOnce (deployment: SoakDeployment): void {
  Promise.all(deployment.nodes.map((node) => node.kill())).finally(() => process.exit(EXIT_BROKEN))
}

function printRun (
  seed: number, { answers, runs, versions }: SoakDeployment, faults: ReadonlyMap<string, number>, breaches: readonly IBreach[]
): void {
  const statuses: Record<number, number> = {}
  for (const { status } of answers) statuses[status] = (statuses[status] ?? 0) + 1
  const counts = {
    requests: answers.length,
    statuses,
    runs: runs.size,
    versions: versions.size,
    faults: Object.fromEntries(faults),
    breaches: breaches.length
  }
  process.stdout.write(`seed ${seed}: ${JSON.stringify(counts)}\n`)
  const printed = new Map<string, number>()
  for (const { promise, detail } of breaches) {
    const count = (printed.get(promise) ?? 0) + 1
    printed.set(promise, count)
    if (count <= PRINTED_DETAILS) process.stdout.write(`  not kept: ${promise}: ${detail}\n`)
  }
}

function plannedRuns (options: Readonly<Record<string, unknown>>): readonly ISoakOptions[] {
  const first = Number(options.seed)
  return Array.from({ length: Number(options.seeds) }, (_, place) => {
    return { seed: first + place, minutes: Number(options.minutes), nodes: Number(options.nodes) }
  })
}

async function main (): Promise<number> {
  const command = cac('soak')
  command.option('--seed <number>', 'First seed', { default: DEFAULT_SEED })
  command.option('--seeds <number>', 'Seeds to run, one after the other', { default: 1 })
  command.option('--minutes <number>', 'Length of each run', { default: DEFAULT_MINUTES })
  command.option('--nodes <number>', 'Daemons', { default: DEFAULT_NODES })
  command.option('--regressions', 'Run the seeds that once failed instead')
  command.help()
  const { options } = command.parse()
  if (options.help === true) return EXIT_KEPT
  const failed: number[] = []
  for (const run of options.regressions === true ? REGRESSION_SEEDS : plannedRuns(options)) {
    const breaches = await runSeed(run)
    if (breaches.length > 0) failed.push(run.seed)
  }
  process.stdout.write(failed.length === 0 ? 'every promise was kept\n' : `promises were not kept with seeds ${failed.join(', ')}\n`)
  return failed.length === 0 ? EXIT_KEPT : EXIT_BROKEN
}

process.exit(await main())
