/** Formats log lines as JSON. */

/** A log entry: strings, numbers, booleans, and lists of records with such values. */
export type LogEntry = Readonly<Record<string, unknown>>

/** Formats an entry with its fields, and the fields of nested records, sorted by name; undefined fields are omitted. */
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
