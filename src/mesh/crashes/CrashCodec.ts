/** Encodes and decodes crash records for responses between nodes and for rows of the node table. */
import { z } from 'zod'
import type { CrashId, ICrashRecord, ICrashReport } from '../Types.js'
import { MAXIMUM_PUBLISHED_CRASHES } from './CrashRegistry.js'
import { isFingerprint } from './RequestIdentity.js'

const SEPARATOR = ':'
const CRASH_ID_PATTERN = /^[\w-]{16}$/

/** Maximum length of the lists in a report that is read; a later build may publish more entries than this one. */
const MAXIMUM_REPORT_ENTRIES = 1_024

const crashId = z.string().regex(CRASH_ID_PATTERN).transform((value) => value as CrashId)

const CRASH_SCHEMA = z.object({
  id: crashId,
  fingerprint: z.string().refine(isFingerprint),
  kind: z.enum(['connections', 'process', 'process-alone', 'trial'])
})

const REPORT_SCHEMA = z.object({
  crashes: z.array(z.unknown()).max(MAXIMUM_REPORT_ENTRIES),
  cleared: z.array(z.unknown()).max(MAXIMUM_REPORT_ENTRIES)
})

/** The valid part of a crash report in a row. */
export interface IDecodedCrashReport {
  /** Undefined if the report as a whole is malformed. */
  readonly report: ICrashReport | undefined
  /** Number of malformed entries, or entries of a kind that this build does not know; 1 for a report that is malformed as a whole. */
  readonly ignored: number
}

/** Decodes a report that was written by `encodeCrashReport`, possibly of a later build: an unknown entry costs only itself. */
export function decodeCrashReport (value: unknown): IDecodedCrashReport {
  const parsed = REPORT_SCHEMA.safeParse(value)
  if (!parsed.success) return { report: undefined, ignored: 1 }
  const { crashes, cleared } = parsed.data
  const report = { crashes: crashes.flatMap(crashOf), cleared: cleared.flatMap(crashIdOf) }
  return { report: limited(report), ignored: crashes.length + cleared.length - report.crashes.length - report.cleared.length }
}

/** A crash report with each crash as one text, since rows are sent to all nodes. */
export function encodeCrashReport ({ crashes, cleared }: ICrashReport): object {
  return { crashes: crashes.map((crash) => encodeCrash(crash).join(SEPARATOR)), cleared }
}

/** ID, fingerprint and kind. */
export function encodeCrash ({ id, fingerprint, kind }: ICrashRecord): readonly string[] {
  return [id, fingerprint, kind]
}

/** Undefined if there is no crash record, or a malformed one. */
export function decodeCrash ([id, fingerprint, kind]: readonly string[]): ICrashRecord | undefined {
  const parsed = CRASH_SCHEMA.safeParse({ id, fingerprint, kind })
  return parsed.success ? parsed.data : undefined
}

/** A list of the record in `entry`; empty if the entry is malformed. */
function crashOf (entry: unknown): ICrashRecord[] {
  const crash = typeof entry === 'string' ? decodeCrash(entry.split(SEPARATOR)) : undefined
  return crash === undefined ? [] : [crash]
}

/** A list of the ID in `entry`; empty if the entry is malformed. */
function crashIdOf (entry: unknown): CrashId[] {
  const parsed = crashId.safeParse(entry)
  return parsed.success ? [parsed.data] : []
}

function limited ({ crashes, cleared }: ICrashReport): ICrashReport {
  return { crashes: crashes.slice(0, MAXIMUM_PUBLISHED_CRASHES), cleared: cleared.slice(0, MAXIMUM_PUBLISHED_CRASHES) }
}
