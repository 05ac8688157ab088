/** Writes the table of all figures for docs/BENCHMARKS.md. */
import { cpus, totalmem } from 'node:os'
import { execFileSync } from 'node:child_process'
import type { IPrintedFigure } from './Types.js'

const BYTES_PER_GIBIBYTE = 1_073_741_824

/** Command, seed and time of a benchmark run. */
export interface IBenchRun {
  readonly command: string
  readonly seed: number
  readonly finishedAt: Date
}

/** Returns the page as Markdown. */
export function writeBenchTable (figures: readonly IPrintedFigure[], run: IBenchRun): string {
  const rows = figures.map((figure) => {
    return `| ${figure.bench} | ${figure.name} | ${figure.value} ${figure.unit} | ${figure.bound ?? ''} | ${describe(figure.holds)} |`
  })
  return [
    '# Benchmarks',
    '',
    `Written by \`${run.command}\` on ${run.finishedAt.toISOString().slice(0, 10)}, commit ${readCommit()}, seed ${run.seed}, Node.js ${process.version}, ` +
      `${cpus().length} cores (${cpus()[0]?.model.trim() ?? 'unknown'}), ${Math.round(totalmem() / BYTES_PER_GIBIBYTE)} GiB of memory.`,
    '',
    'Bounds are the stated targets. A figure without a bound informs only. Timings depend on the machine and on what else it does.',
    '',
    '| benchmark | figure | value | bound | holds |',
    '| --- | --- | --- | --- | --- |',
    ...rows,
    ''
  ].join('\n')
}

function describe (holds: boolean | undefined): string {
  if (holds === undefined) return ''
  return holds ? 'yes' : '**no**'
}

function readCommit (): string {
  try {
    return execFileSync('git', ['rev-parse', '--short', 'HEAD'], { encoding: 'utf8' }).trim()
  } catch {
    return 'unknown'
  }
}
