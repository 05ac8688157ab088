/** Policies side by side under each named load, in simulated time from a seed. */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { Milliseconds } from '../../src/common/Types.js'
import { RequestQueue } from '../../src/mesh/endpoint/RequestQueue.js'
import { BOUNDS } from '../Bounds.js'
import type { IBench, IBenchOptions, IFigure } from '../Types.js'
import { FirstComeLine } from './FirstComeLine.js'
import { LOAD_PATTERNS } from './LoadPatterns.js'
import { Replay } from './Replay.js'
import type { ReplayedRequest } from './ReplayedRequest.js'
import { renderReplayPage, type IReplayRow } from './ReplayPage.js'
import type { IReplayPolicy, IReplayResult } from './Types.js'

const SECONDS = 120
const QUICK_SECONDS = 30
const OUTPUT_FOLDER = '.bench'
const OUTPUT_FILE = join(OUTPUT_FOLDER, 'replay.html')

/** Costs of distance that no wait makes up for. */
const NEVER_FAR = Object.freeze([0, 10_000, 20_000]) as unknown as readonly [Milliseconds, Milliseconds, Milliseconds]

export const PRESENT: IReplayPolicy = { name: 'as designed', placement: {}, createLine: () => new RequestQueue<ReplayedRequest>() }
/** Simpler ways to compare with. */
export const BASELINES: readonly IReplayPolicy[] = Object.freeze([
  { name: 'first come first served', placement: {}, createLine: () => new FirstComeLine() },
  { name: 'own failure domain first', placement: { distanceCost: NEVER_FAR, lateCost: 0 }, createLine: () => new RequestQueue<ReplayedRequest>() }
])

export const REPLAY_BENCH: IBench = {
  name: 'replay',
  summary: 'named loads against placement and waiting line alone, in simulated time; --baseline compares simpler policies',
  run: async (options, report) => {
    const rows: IReplayRow[] = []
    for (const pattern of LOAD_PATTERNS) {
      for (const policy of options.baseline ? [PRESENT, ...BASELINES] : [PRESENT]) {
        const result = new Replay(pattern, policy, options.seed).run(options.quick ? QUICK_SECONDS : SECONDS)
        rows.push({ pattern: pattern.name, policy: policy.name, result })
        reportResult(`${pattern.name}, ${policy.name}`, result, policy === PRESENT, report)
      }
    }
    writePage(rows, options)
  }
}

function reportResult (label: string, result: IReplayResult, isBound: boolean, report: (figure: IFigure) => void): void {
  for (const part of ['onTime', 'late', 'refused', 'failed'] as const) report({ name: `${label}: ${part}`, value: round(result[part]), unit: '%' })
  report({ name: `${label}: repeats`, value: result.repeats, unit: 'requests' })
  report({ name: `${label}: abroad`, value: result.abroad, unit: 'attempts' })
  const gap = { name: `${label}: a rank behind a lesser one`, value: round(rankGap(result)), unit: '%' }
  report(isBound ? { ...gap, bound: BOUNDS.rankInversionPercent, direction: 'at-most' } : gap)
}

/** How far the on-time share of a rank lies below that of a less important one, at most. */
export function rankGap ({ onTimeByRank }: IReplayResult): number {
  const shares = [...onTimeByRank].sort(([left], [right]) => left - right).map(([, share]) => share)
  return Math.max(0, ...shares.flatMap((share, index) => shares.slice(index + 1).map((lesser) => lesser - share)))
}

function writePage (rows: readonly IReplayRow[], { quick }: IBenchOptions): void {
  if (quick) return
  mkdirSync(OUTPUT_FOLDER, { recursive: true })
  writeFileSync(OUTPUT_FILE, renderReplayPage(rows))
}

function round (value: number): number {
  return Math.round(value * 10) / 10
}
