/** Lines of the log as JSON. */

/** An entry of the log: texts, numbers, truth values, and lists of records of these. */
export type LogEntry = Readonly<Record<string, unknown>>

/** One entry with its fields, and those of its parts, in the order of their names; fields without a value are left out. */
export function formatLogLine (entry: LogEntry): string {
  return JSON.stringify(sortFields(entry))
}

function sortFields (record: LogEntry): LogEntry {
  const sorted: Record<string, unknown> = {}
  for (const name of Object.keys(record).sort()) {
    const value = record[name]
    sorted[name] = typeof value === 'object' && value !== null ? sortParts(value) : value
  }
  return sorted
}

function sortParts (value: object): unknown {
  return Array.isArray(value) ? value.map((part: unknown) => isRecord(part) ? sortFields(part) : part) : sortFields(value as LogEntry)
}

function isRecord (value: unknown): value is LogEntry {
  return typeof value === 'object' && value !== null
}
