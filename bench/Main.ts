/** Runs benchmarks: `npm run --silent bench -- NAME [--baseline] [--quick] [--seed N] [--minutes N]`; without a name, all of them. */
import { cac } from 'cac'
import { BENCHES } from './Benches.js'
import type { IBench, IBenchOptions, IFigure } from './Types.js'

const DEFAULT_SEED = 20_261_204
const DEFAULT_MINUTES = 2

/** Whether a figure keeps its bound; undefined for a figure without one. */
function holds (figure: IFigure): boolean | undefined {
  if (figure.bound === undefined) return undefined
  return figure.direction === 'at-least' ? figure.value >= figure.bound : figure.value <= figure.bound
}

/** Runs one benchmark, prints its figures, tells whether every bound held. */
async function runOne (bench: IBench, options: IBenchOptions): Promise<boolean> {
  let allHold = true
  await bench.run(options, (figure) => {
    const isHeld = holds(figure)
    if (isHeld === false) allHold = false
    const line = { bench: bench.name, ...figure, direction: undefined, holds: isHeld, seed: options.seed }
    process.stdout.write(`${JSON.stringify(line)}\n`)
  })
  return allHold
}

/** Parses the command line and runs what it names. */
async function main (): Promise<number> {
  const command = cac('bench')
  command.option('--seed <number>', 'Seed of random choices', { default: DEFAULT_SEED })
  command.option('--minutes <number>', 'Length of long runs', { default: DEFAULT_MINUTES })
  command.option('--baseline', 'Also measure the simpler way')
  command.option('--quick', 'A shorter run')
  command.help()
  const { args, options } = command.parse()
  if (options.help === true) return 0
  const chosen = args.length === 0 ? BENCHES : BENCHES.filter((bench) => args.includes(bench.name))
  if (chosen.length === 0) {
    process.stderr.write(`no such benchmark: ${args.join(' ')}; there are ${BENCHES.map((bench) => bench.name).join(', ')}\n`)
    return 2
  }
  const benchOptions: IBenchOptions = {
    seed: Number(options.seed), minutes: Number(options.minutes), baseline: options.baseline === true, quick: options.quick === true
  }
  let allHold = true
  for (const bench of chosen) {
    const isHeld = await runOne(bench, benchOptions)
    allHold = allHold && isHeld
  }
  return allHold ? 0 : 1
}

process.exitCode = await main()
