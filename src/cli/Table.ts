/** Text tables with aligned columns. */

const COLUMN_GAP = '  '

/** One line for each row, headings first; columns are as wide as their widest cell. */
export function formatTable (headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string[] {
  const lines = [headings, ...rows]
  const widths = headings.map((_, column) => Math.max(...lines.map((cells) => (cells[column] ?? '').length)))
  return lines.map((cells) => formatRow(cells, widths))
}

/** Pads every cell but the last. */
function formatRow (cells: readonly string[], widths: readonly number[]): string {
  return cells.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(COLUMN_GAP).trimEnd()
}
