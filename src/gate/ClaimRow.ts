/** Rows by which at-most-once requests are claimed, and how they are written as JSON. */
import { createHash } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'
import { z } from 'zod'
import type { IRow, IRowReference, ObjectKey, RowKey, TableName } from '../platform/Types.js'
import type { ICall } from './Types.js'

const CLAIM_TABLE = 'claims' as TableName

/** Visible ASCII, 1 to 255 characters. */
const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/

const RECORDED_ANSWER = z.object({
  status: z.number().int().min(200).max(599),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  /** Base64; absent if the body lies in the object store or was not kept. */
  body: z.string().optional(),
  /** Key of the object that holds the body. */
  object: z.string().optional(),
  isKept: z.boolean()
})

const CLAIM = z.object({
  /**
   * `claimed`: the holder of the token runs the request or ran it; `voided`: it never did, and the claim may be
   * taken over; `answered`: the answer is recorded; `lost`: it ran and its answer is lost.
   */
  state: z.enum(['claimed', 'voided', 'answered', 'lost']),
  /** Random; proves which attempt wrote the row. */
  token: z.string(),
  /** Hash over method, target and body. */
  hash: z.string(),
  /** Node that wrote the row. */
  node: z.string(),
  /** Milliseconds since the Unix epoch by that node's clock; for people only. */
  at: z.number(),
  answer: RECORDED_ANSWER.optional()
})

/** Contents of a claim's row. */
export type Claim = z.infer<typeof CLAIM>
/** An answer as it was recorded. */
export type RecordedAnswer = z.infer<typeof RECORDED_ANSWER>

/** The row that claims `call`; undefined if its idempotency key is malformed. */
export function claimReference (call: ICall): IRowReference | undefined {
  const key = call.idempotencyKey
  if (key === undefined || !KEY_PATTERN.test(key)) return undefined
  return { table: CLAIM_TABLE, key: `${call.service}/${call.route}/${key}` as RowKey }
}

/** Hash by which a repeat is told from another request with the same key. */
export function claimHash (call: ICall, content: Buffer | undefined): string {
  const hash = createHash('sha256').update(JSON.stringify([call.method, call.path]))
  if (content !== undefined) hash.update(content)
  return hash.digest('base64url')
}

export function encodeClaim (claim: Claim): string {
  return JSON.stringify(claim)
}

/** Throws if the row is not a claim. */
export function decodeClaim (row: IRow): Claim {
  return CLAIM.parse(JSON.parse(row.value))
}

/** Key of the object that holds a recorded body. */
export function answerObjectKey (token: string): ObjectKey {
  return `claim-answers/${token}` as ObjectKey
}

/** Headers of a recorded answer as HTTP has them. */
export function recordedHeaders (answer: RecordedAnswer): IncomingHttpHeaders {
  return { ...answer.headers } as IncomingHttpHeaders
}
