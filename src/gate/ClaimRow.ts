/** Claim rows of at-most-once requests and their JSON encoding. */
import { createHash } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'
import { z } from 'zod'
import type { IRow, IRowReference, ObjectKey, RowKey, TableName } from '../platform/Types.js'
import type { ICall } from './Types.js'

const CLAIM_TABLE = 'claims' as TableName

/** Visible ASCII, 1 to 255 characters. */
const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/

const RECORDED_RESPONSE = z.object({
  status: z.number().int().min(200).max(599),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  /** Base64; absent if the body is in the object store or was not recorded. */
  body: z.string().optional(),
  /** Key of the object that contains the body. */
  object: z.string().optional(),
  isKept: z.boolean()
})

const CLAIM = z.object({
  /**
   * `claimed`: the owner of the token is running the request or ran it; `voided`: the request was never run, and another
   * attempt may claim the key; `answered`: the response is recorded; `lost`: the request ran and its response is lost.
   */
  state: z.enum(['claimed', 'voided', 'answered', 'lost']),
  /** Random; identifies the attempt that wrote the row. */
  token: z.string(),
  /** Hash of method, target and body. */
  hash: z.string(),
  /** Node that wrote the row. */
  node: z.string(),
  /** Milliseconds since the Unix epoch by the clock of the node that wrote the row; informational, never compared. */
  at: z.number(),
  answer: RECORDED_RESPONSE.optional()
})

/** Contents of a claim row. */
export type Claim = z.infer<typeof CLAIM>
/** A recorded response. */
export type RecordedResponse = z.infer<typeof RECORDED_RESPONSE>

/** Row of the claim for `call`; undefined if its idempotency key is malformed. */
export function claimReference (call: ICall): IRowReference | undefined {
  const key = call.idempotencyKey
  if (key === undefined || !KEY_PATTERN.test(key)) return undefined
  return { table: CLAIM_TABLE, key: `${call.service}/${call.route}/${key}` as RowKey }
}

/** Hash that distinguishes a retry from a different request with the same key. */
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

/** Key of the object that contains a recorded body. */
export function responseObjectKey (token: string): ObjectKey {
  return `claim-answers/${token}` as ObjectKey
}

/** Headers of a recorded response. */
export function recordedHeaders (response: RecordedResponse): IncomingHttpHeaders {
  return { ...response.headers } as IncomingHttpHeaders
}
