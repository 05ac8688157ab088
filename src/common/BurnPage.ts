/** Renders the burn report as a self-contained HTML page. */

const MINUTE_MS = 60_000
const HOUR_MS = 60 * MINUTE_MS

/** Error budget burn of one time window, as returned by the operator protocol. */
export interface IBurnPageWindow {
  readonly windowMs: number
  readonly good: number
  readonly bad: number
  readonly burnRate: number
}

/** Error budget burn of one service in one failure domain. */
export interface IBurnPageReport {
  readonly service: string
  readonly failureDomain: string
  /** Objective for the share of good responses, in percent. */
  readonly objective: number
  readonly windows: readonly IBurnPageWindow[]
}

const PLOT_WIDTH_PX = 640
const LABEL_WIDTH_PX = 220
const BAR_HEIGHT_PX = 16
const ROW_HEIGHT_PX = 22
const VALUE_WIDTH_PX = 70
/** Lower bound of the largest value on the scale, so that low rates get short bars. */
const MINIMUM_SCALE_RATE = 2
/** Burn rate at which the error budget of the objective lasts for exactly its period. */
const SUSTAINABLE_RATE = 1

const STYLE = `body{font:14px/1.4 system-ui,sans-serif;margin:2em;color:#222}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right}
td:first-child,th:first-child{text-align:left}tr:nth-child(even){background:#f4f4f4}.over{color:#b00020;font-weight:bold}`

/** Renders the page; every text of a report is escaped. */
export function renderBurnPage (reports: readonly IBurnPageReport[], createdAt: Date): string {
  const services = [...new Set(reports.map((report) => report.service))].sort()
  const sections = services.map((service) => renderService(service, reports.filter((report) => report.service === service)))
  const body = sections.length === 0 ? '<p>No calls have been counted.</p>' : sections.join('\n')
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Burn of service-level objectives</title><style>${STYLE}</style></head>
<body><h1>Burn of service-level objectives</h1>
<p>As of ${escapeHtml(createdAt.toISOString())}. At a burn rate of 1 the objective's budget lasts exactly its period.</p>
${body}
</body></html>
`
}

function renderService (service: string, reports: readonly IBurnPageReport[]): string {
  const objective = reports[0]?.objective ?? 0
  return `<h2>${escapeHtml(service)}, objective ${formatNumber(objective)} %</h2>\n${renderPlot(reports)}\n${renderTable(reports)}`
}

/** One bar for each window of each failure domain, and a line at the sustainable rate. */
function renderPlot (reports: readonly IBurnPageReport[]): string {
  const rows = reports.flatMap((report) => report.windows.map((window) => ({ report, window })))
  const highest = Math.max(MINIMUM_SCALE_RATE, ...rows.map(({ window }) => toFinite(window.burnRate)))
  const toWidth = (rate: number): number => Math.round(toFinite(rate) / highest * (PLOT_WIDTH_PX - LABEL_WIDTH_PX - VALUE_WIDTH_PX))
  const height = rows.length * ROW_HEIGHT_PX
  const bars = rows.map(({ report, window }, row) => renderBar(`${report.failureDomain}, ${formatWindow(window.windowMs)}`, window, row, toWidth))
  const sustainableX = LABEL_WIDTH_PX + toWidth(SUSTAINABLE_RATE)
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${PLOT_WIDTH_PX}" height="${height}" role="img" aria-label="burn rates">${bars.join('')}` +
    `<line x1="${sustainableX}" x2="${sustainableX}" y1="0" y2="${height}" stroke="#222" stroke-dasharray="4 3"/></svg>`
}

function renderBar (label: string, window: IBurnPageWindow, row: number, toWidth: (rate: number) => number): string {
  const top = row * ROW_HEIGHT_PX
  const baseline = top + BAR_HEIGHT_PX - 3
  const width = toWidth(window.burnRate)
  const colour = window.burnRate > SUSTAINABLE_RATE ? '#b00020' : '#2e7d32'
  return `<text x="0" y="${baseline}">${escapeHtml(label)}</text>` +
    `<rect x="${LABEL_WIDTH_PX}" y="${top}" width="${width}" height="${BAR_HEIGHT_PX}" fill="${colour}"/>` +
    `<text x="${LABEL_WIDTH_PX + width + 6}" y="${baseline}">${formatNumber(window.burnRate)}</text>`
}

function renderTable (reports: readonly IBurnPageReport[]): string {
  const rows = reports.flatMap((report) => report.windows.map((window) => {
    const mark = window.burnRate > SUSTAINABLE_RATE ? ' class="over"' : ''
    return `<tr><td>${escapeHtml(report.failureDomain)}</td><td>${formatWindow(window.windowMs)}</td><td>${formatNumber(window.good)}</td>` +
      `<td>${formatNumber(window.bad)}</td><td${mark}>${formatNumber(window.burnRate)}</td></tr>`
  }))
  return `<table><tr><th>failure domain</th><th>window</th><th>good</th><th>bad</th><th>burn rate</th></tr>\n${rows.join('\n')}</table>`
}

function formatWindow (windowMs: number): string {
  const isWholeHours = windowMs % HOUR_MS === 0
  return isWholeHours ? `${formatNumber(windowMs / HOUR_MS)} h` : `${formatNumber(windowMs / MINUTE_MS)} min`
}

function formatNumber (value: number): string {
  return String(Math.round(toFinite(value) * 100) / 100)
}

/** Numbers come from other processes; a value that is not finite, or is negative, counts as 0. */
function toFinite (value: number): number {
  return Number.isFinite(value) ? Math.max(0, value) : 0
}

function escapeHtml (text: string): string {
  return text.replace(/[&<>"']/g, (character) => `&#${character.charCodeAt(0)};`)
}
