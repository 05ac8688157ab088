/** Runs one benchmark in a separate process, so that it is not affected by the state that an earlier benchmark left in the process. */
import { spawn } from 'node:child_process'
import { createInterface } from 'node:readline'
import type { IBenchOptions, IPrintedFigure } from './Types.js'

/** Figures of one benchmark, and whether all of them are within their bounds. */
export interface IBenchResult {
  readonly figures: readonly IPrintedFigure[]
  readonly allHold: boolean
}

/** Runs a benchmark in a child process and copies its output to standard output. */
export async function runInProcess (name: string, options: IBenchOptions): Promise<IBenchResult> {
  const flags = [`--seed=${options.seed}`, `--minutes=${options.minutes}`]
  if (options.quick) flags.push('--quick')
  if (options.baseline) flags.push('--baseline')
  const child = spawn(process.execPath, [...process.execArgv, process.argv[1] ?? '', name, ...flags], { stdio: ['ignore', 'pipe', 'inherit'] })
  const figures: IPrintedFigure[] = []
  createInterface({ input: child.stdout }).on('line', (line) => {
    process.stdout.write(`${line}\n`)
    const figure = parseFigure(line)
    if (figure !== undefined) figures.push(figure)
  })
  const code = await new Promise<number | null>((resolve) => child.once('close', resolve))
  return { figures, allHold: code === 0 }
}

function parseFigure (line: string): IPrintedFigure | undefined {
  try {
    return JSON.parse(line) as IPrintedFigure
  } catch {
    return undefined
  }
}
