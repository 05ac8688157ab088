/** Encodes and decodes the object of a checkpoint: deflated JSON. */
import { deflateRaw, inflateRaw } from 'node:zlib'
import { promisify } from 'node:util'
import { z } from 'zod'
import { hashContent } from '../../common/Ids.js'
import type { ChangeSequence, ContentHash } from '../../common/Types.js'
import type { IAcceptedChange } from '../Types.js'
import { CHANGE_SCHEMA } from './Rows.js'

/** The newest version of every service at one point of the change log, with all texts. */
export interface ICheckpoint {
  readonly sequence: ChangeSequence
  readonly changes: readonly IAcceptedChange[]
  readonly texts: ReadonlyMap<ContentHash, string>
}

const FORMAT = 1
/** Maximum size of an inflated checkpoint in bytes. */
const MAXIMUM_CHECKPOINT_BYTES = 134_217_728
const inflate = promisify<Uint8Array, { readonly maxOutputLength: number }, Buffer>(inflateRaw)
const deflate = promisify<Uint8Array, Buffer>(deflateRaw)

const CHECKPOINT_SCHEMA = z.object({
  format: z.literal(FORMAT),
  sequence: z.number().int().min(0).transform((value) => value as ChangeSequence),
  changes: z.array(CHANGE_SCHEMA),
  texts: z.array(z.string())
})

export async function encodeCheckpoint ({ sequence, changes, texts }: ICheckpoint): Promise<Uint8Array> {
  return await deflate(Buffer.from(JSON.stringify({ format: FORMAT, sequence, changes, texts: [...texts.values()] })))
}

/** Undefined if the content is damaged or has another format. Hashes are computed from the texts, so no hash can map to a wrong text. */
export async function decodeCheckpoint (content: Uint8Array): Promise<ICheckpoint | undefined> {
  try {
    const bytes = await inflate(content, { maxOutputLength: MAXIMUM_CHECKPOINT_BYTES })
    const { sequence, changes, texts } = CHECKPOINT_SCHEMA.parse(JSON.parse(bytes.toString()))
    return { sequence, changes, texts: new Map(texts.map((text) => [hashContent(text), text])) }
  } catch {
    return undefined
  }
}
