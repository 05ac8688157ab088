/** Runs benchmarks: `npm run --silent bench -- NAME [--baseline] [--quick] [--seed N] [--minutes N]`; without NAME, runs all. */
import { writeFile } from 'node:fs/promises'
import { cac } from 'cac'
import { BENCHES } from './Benches.js'
import { runInProcess } from './BenchProcess.js'
import { writeBenchTable } from './BenchTable.js'
import type { IBench, IBenchOptions, IFigure, IPrintedFigure } from './Types.js'

const EXIT_DONE = 0
const EXIT_FAILED = 1
const EXIT_INVALID = 2
const TABLE_FILE = 'docs/BENCHMARKS.md'
const DEFAULT_SEED = 20_261_204
const DEFAULT_MINUTES = 2

/** Whether a figure is within its bound; undefined for a figure without a bound. */
function isWithinBound (figure: IFigure): boolean | undefined {
  if (figure.bound === undefined) return undefined
  return figure.direction === 'at-least' ? figure.value >= figure.bound : figure.value <= figure.bound
}

/** Runs one benchmark in this process and prints its figures; returns whether all figures are within their bounds. */
async function runOne (bench: IBench, options: IBenchOptions): Promise<boolean> {
  let allHold = true
  await bench.run(options, (figure) => {
    const isMet = isWithinBound(figure)
    if (isMet === false) allHold = false
    const line = { bench: bench.name, ...figure, direction: undefined, holds: isMet, seed: options.seed }
    process.stdout.write(`${JSON.stringify(line)}\n`)
  })
  return allHold
}

/** Runs each benchmark in a separate process and writes the table of figures; a quick run only prints the table. */
async function runAll (options: IBenchOptions): Promise<boolean> {
  const figures: IPrintedFigure[] = []
  const failed: string[] = []
  for (const bench of BENCHES) {
    const result = await runInProcess(bench.name, options)
    figures.push(...result.figures)
    if (!result.allHold) failed.push(bench.name)
  }
  const command = `npm run bench${options.quick ? ' -- --quick' : ''}`
  const table = writeBenchTable(figures, { command, seed: options.seed, finishedAt: new Date() })
  if (options.quick) process.stdout.write(`\n${table}`)
  else await writeFile(TABLE_FILE, table)
  if (failed.length > 0) process.stdout.write(`\nbounds failed in: ${failed.join(', ')}\n`)
  return failed.length === 0
}

/** Converts the options of the command line. */
function readOptions (options: Readonly<Record<string, unknown>>): IBenchOptions {
  return {
    seed: Number(options.seed), minutes: Number(options.minutes), baseline: options.baseline === true, quick: options.quick === true
  }
}

/** Parses the command line and runs the selected benchmark or all benchmarks. */
async function main (): Promise<number> {
  const command = cac('bench')
  command.option('--seed <number>', 'Seed of random choices', { default: DEFAULT_SEED })
  command.option('--minutes <number>', 'Length of long runs', { default: DEFAULT_MINUTES })
  command.option('--baseline', 'Also measure the baseline')
  command.option('--quick', 'A shorter run')
  command.help()
  const { args, options } = command.parse()
  if (options.help === true) return EXIT_DONE
  const benchOptions = readOptions(options)
  if (args.length === 0) return await runAll(benchOptions) ? EXIT_DONE : EXIT_FAILED
  const bench = BENCHES.find((candidate) => candidate.name === args[0])
  if (bench !== undefined) return await runOne(bench, benchOptions) ? EXIT_DONE : EXIT_FAILED
  process.stderr.write(`no such benchmark: ${args[0]}; there are ${BENCHES.map((candidate) => candidate.name).join(', ')}\n`)
  return EXIT_INVALID
}

process.exit(await main())
