/** Reads the structured logs of nodes. */

/** One event of one node. */
export interface ILogLine {
  /** Milliseconds since 1970 by the node's clock. */
  readonly at: number
  readonly node: string
  /** Name of the event. */
  readonly name: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Content of the logs. */
export interface ILogContent {
  /** Ordered by time. */
  readonly lines: readonly ILogLine[]
  /** Number of lines that are not events. */
  readonly unreadable: number
}

/** Parses the texts of several logs. Ignores everything before the first brace of a line, for example the name of a machine. */
export function readLogs (texts: Iterable<string>): ILogContent {
  const lines: ILogLine[] = []
  let unreadable = 0
  for (const text of texts) {
    for (const raw of text.split('\n')) {
      if (raw.trim() === '') continue
      const line = parseLine(raw)
      if (line === undefined) unreadable++
      else lines.push(line)
    }
  }
  lines.sort((left, right) => left.at - right.at)
  return { lines, unreadable }
}

function parseLine (raw: string): ILogLine | undefined {
  const start = raw.indexOf('{')
  if (start < 0) return undefined
  try {
    const fields = JSON.parse(raw.slice(start)) as Record<string, unknown>
    const at = Date.parse(String(fields.timestamp))
    if (typeof fields.message !== 'string' || Number.isNaN(at)) return undefined
    return { at, node: String(fields.node ?? ''), name: fields.message, fields }
  } catch {
    // Other programs may write to the same log; these lines are counted, and the count is shown as a gap.
    return undefined
  }
}
