/** Encodes and decodes crash records for responses between nodes and for rows of the node table. */
import { z } from 'zod'
import type { CrashId, ICrashRecord, ICrashReport } from '../Types.js'
import { MAXIMUM_PUBLISHED_CRASHES } from './CrashRegistry.js'
import { isFingerprint } from './RequestIdentity.js'

const SEPARATOR = ':'
const CRASH_ID_PATTERN = /^[\w-]{16}$/

const crashId = z.string().regex(CRASH_ID_PATTERN).transform((value) => value as CrashId)

const CRASH_SCHEMA = z.object({
  id: crashId,
  fingerprint: z.string().refine(isFingerprint),
  kind: z.enum(['connections', 'process', 'process-alone', 'trial'])
})

/** Schema of a crash report in a row, as written by `encodeCrashReport`. */
export const CRASH_REPORT_SCHEMA: z.ZodType<ICrashReport> = z.object({
  crashes: z.array(z.string().transform(splitCrash).pipe(CRASH_SCHEMA)).max(MAXIMUM_PUBLISHED_CRASHES),
  cleared: z.array(crashId).max(MAXIMUM_PUBLISHED_CRASHES)
})

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

function splitCrash (text: string): Partial<Record<keyof ICrashRecord, string>> {
  const [id, fingerprint, kind] = text.split(SEPARATOR)
  return { id, fingerprint, kind }
}
