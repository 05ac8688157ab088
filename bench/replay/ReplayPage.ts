/** Renders results of replays as one self-contained HTML page. */
import type { IReplayResult } from './Types.js'

/** Result of one load pattern under one policy. */
export interface IReplayRow {
  readonly pattern: string
  readonly policy: string
  readonly result: IReplayResult
}

const BAR_WIDTH_PX = 480
const BAR_HEIGHT_PX = 18
const PERCENT = 100
const OUTCOME_COLORS = Object.freeze([['onTime', '#2e7d32'], ['late', '#f9a825'], ['refused', '#6d6d6d'], ['failed', '#b00020']] as const)

export function renderReplayPage (rows: readonly IReplayRow[]): string {
  const legend = OUTCOME_COLORS.map(([outcome, color]) => `<span style="color:${color}">&#9632; ${outcome}</span>`).join(' ')
  const body = rows.map(({ pattern, policy, result }) =>
    `<tr><td>${pattern}</td><td>${policy}</td><td>${renderBar(result)}</td><td>${result.onTime.toFixed(1)} %</td>` +
    `<td>${result.retries}</td><td>${result.crossRegionAttempts}</td></tr>`)
  return `<!doctype html><meta charset="utf-8"><title>Replayed loads</title>
<style>body{font:14px/1.4 system-ui,sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:left}</style>
<h1>Replayed loads</h1><p>${legend}</p>
<table><tr><th>load</th><th>policy</th><th>outcomes for callers</th><th>on time</th><th>retries</th><th>cross-region attempts</th></tr>
${body.join('\n')}
</table>
`
}

function renderBar (result: IReplayResult): string {
  let x = 0
  const bars = OUTCOME_COLORS.map(([outcome, color]) => {
    const width = result[outcome] / PERCENT * BAR_WIDTH_PX
    const bar = `<rect x="${x.toFixed(1)}" width="${width.toFixed(1)}" height="${BAR_HEIGHT_PX}" fill="${color}"/>`
    x += width
    return bar
  })
  return `<svg width="${BAR_WIDTH_PX}" height="${BAR_HEIGHT_PX}">${bars.join('')}</svg>`
}
