/** Encodes and decodes crash records for responses between nodes and for rows of the node table. */
import { z } from 'zod'
import type { CrashId, ICrashRecord, ICrashReport } from '../Types.js'
import { MAXIMUM_PUBLISHED_CRASHES } from './CrashRegistry.js'
import { isFingerprint } from './RequestIdentity.js'

const CRASH_ID_PATTERN = /^[\w-]{16}$/

const crashId = z.string().regex(CRASH_ID_PATTERN).transform((value) => value as CrashId)

const CRASH_SCHEMA: z.ZodType<ICrashRecord> = z.object({
  id: crashId,
  fingerprint: z.string().refine(isFingerprint),
  weight: z.union([z.literal(1), z.literal(2)])
})

/** Schema of a crash report in a row. */
export const CRASH_REPORT_SCHEMA: z.ZodType<ICrashReport> = z.object({
  crashes: z.array(CRASH_SCHEMA).max(MAXIMUM_PUBLISHED_CRASHES),
  cleared: z.array(crashId).max(MAXIMUM_PUBLISHED_CRASHES)
})

/** ID, fingerprint and weight. */
export function encodeCrash ({ id, fingerprint, weight }: ICrashRecord): readonly string[] {
  return [id, fingerprint, String(weight)]
}

/** Undefined if there is no crash record, or a malformed one. */
export function decodeCrash ([id, fingerprint, weight]: readonly string[]): ICrashRecord | undefined {
  const parsed = CRASH_SCHEMA.safeParse({ id, fingerprint, weight: Number(weight) })
  return parsed.success ? parsed.data : undefined
}
