/** Compares policies under each load pattern, in simulated time and reproducible from a seed. */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { Milliseconds } from '../../src/common/Types.js'
import { RequestQueue } from '../../src/mesh/endpoint/RequestQueue.js'
import { BOUNDS } from '../Bounds.js'
import type { IBench, IBenchOptions, IFigure } from '../Types.js'
import { FirstComeQueue } from './FirstComeQueue.js'
import { LOAD_PATTERNS } from './LoadPatterns.js'
import { Replay } from './Replay.js'
import type { ReplayedRequest } from './ReplayedRequest.js'
import { renderReplayPage, type IReplayRow } from './ReplayPage.js'
import type { IReplayPolicy, IReplayResult } from './Types.js'

const SECONDS = 120
const QUICK_SECONDS = 30
const OUTPUT_FOLDER = '.bench'
const OUTPUT_FILE = join(OUTPUT_FOLDER, 'replay.html')

/** Distance costs that exceed every waiting time, so that no request leaves its failure domain for a shorter queue. */
const PROHIBITIVE_DISTANCE_COST = Object.freeze([0, 10_000, 20_000]) as unknown as readonly [Milliseconds, Milliseconds, Milliseconds]

export const CURRENT_POLICY: IReplayPolicy = { name: 'as designed', selection: {}, createQueue: () => new RequestQueue<ReplayedRequest>() }
/** Simpler policies for comparison. */
export const BASELINES: readonly IReplayPolicy[] = Object.freeze([
  { name: 'first come first served', selection: {}, createQueue: () => new FirstComeQueue() },
  { name: 'own failure domain first', selection: { distanceCost: PROHIBITIVE_DISTANCE_COST, lateCost: 0 }, createQueue: () => new RequestQueue<ReplayedRequest>() }
])

export const REPLAY_BENCH: IBench = {
  name: 'replay',
  summary: 'load patterns against endpoint selection and request queue alone, in simulated time; --baseline compares simpler policies',
  run: async (options, report) => {
    const rows: IReplayRow[] = []
    for (const pattern of LOAD_PATTERNS) {
      for (const policy of options.baseline ? [CURRENT_POLICY, ...BASELINES] : [CURRENT_POLICY]) {
        const result = new Replay(pattern, policy, options.seed).run(options.quick ? QUICK_SECONDS : SECONDS)
        rows.push({ pattern: pattern.name, policy: policy.name, result })
        reportResult(`${pattern.name}, ${policy.name}`, result, policy === CURRENT_POLICY, report)
      }
    }
    writePage(rows, options)
  }
}

function reportResult (label: string, result: IReplayResult, isBounded: boolean, report: (figure: IFigure) => void): void {
  for (const outcome of ['onTime', 'late', 'refused', 'failed'] as const) report({ name: `${label}: ${outcome}`, value: round(result[outcome]), unit: '%' })
  report({ name: `${label}: repeats`, value: result.retries, unit: 'requests' })
  report({ name: `${label}: abroad`, value: result.crossRegionAttempts, unit: 'attempts' })
  const gap = { name: `${label}: a rank behind a lesser one`, value: round(rankGap(result)), unit: '%' }
  report(isBounded ? { ...gap, bound: BOUNDS.rankInversionPercent, direction: 'at-most' } : gap)
}

/** Maximum difference by which the on-time share of a rank is below that of a less important one; 0 if it is never below. */
export function rankGap ({ onTimeByRank }: IReplayResult): number {
  const shares = [...onTimeByRank].sort(([left], [right]) => left - right).map(([, share]) => share)
  return Math.max(0, ...shares.flatMap((share, index) => shares.slice(index + 1).map((lowerShare) => lowerShare - share)))
}

function writePage (rows: readonly IReplayRow[], { quick }: IBenchOptions): void {
  if (quick) return
  mkdirSync(OUTPUT_FOLDER, { recursive: true })
  writeFileSync(OUTPUT_FILE, renderReplayPage(rows))
}

function round (value: number): number {
  return Math.round(value * 10) / 10
}
