/** Compresses texts for the network, as a delta against an earlier version if the receiver has that version. */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { hashContent } from '../common/Ids.js'
import { SavoryknotError } from '../common/SavoryknotError.js'
import type { ContentHash } from '../common/Types.js'
import { applyTextDelta, createTextDelta, MAXIMUM_DELTA_OVERHEAD_BYTES } from './TextDelta.js'

/** A body could not be inflated within the size limit, or its text does not match its hash. */
export class BodyError extends SavoryknotError {}

/** Sender of a body, and the size limit of its text. */
export interface IBodySource {
  readonly peer: string
  /** Maximum size of the restored text, in bytes. */
  readonly maximumBytes: number
}

/** Maximum size of the text of a document, in bytes. */
export const MAXIMUM_DOCUMENT_BYTES = 256 * 1024

/** Maximum distance of a back reference in DEFLATE. */
const WINDOW_BYTES = 32 * 1024

/**
 * Compresses `text`. With `base`, the result is a delta that can be decoded only with the same `base`. A base that fits into the
 * window of DEFLATE is used as its dictionary. For a longer base, which DEFLATE cannot reach completely, a text delta is computed
 * first and then deflated.
 */
export function encodeBody (text: string, base: string | undefined): Buffer {
  if (base === undefined || base.length === 0) return deflateRawSync(text)
  const dictionary = Buffer.from(base)
  if (dictionary.length <= WINDOW_BYTES) return deflateRawSync(text, { dictionary })
  return deflateRawSync(createTextDelta(base, text))
}

/** Restores a text and verifies its hash. Throws `BodyError`. */
export function decodeBody (content: Uint8Array, base: string | undefined, hash: ContentHash, source: IBodySource): string {
  const text = restore(content, base, source)
  if (hashContent(text) !== hash) throw new BodyError('content does not match its hash', { step: 'body.verify', peer: source.peer })
  return Buffer.from(text.buffer, text.byteOffset, text.byteLength).toString('utf8')
}

/** Inflates `content` with a bounded output, so that a small body cannot expand to a huge text. */
function restore (content: Uint8Array, base: string | undefined, { peer, maximumBytes }: IBodySource): Uint8Array {
  try {
    if (base === undefined || base.length === 0) return inflate(content, maximumBytes)
    const dictionary = Buffer.from(base)
    if (dictionary.length <= WINDOW_BYTES) return inflate(content, maximumBytes, dictionary)
    return applyDelta(base, inflate(content, maximumBytes + MAXIMUM_DELTA_OVERHEAD_BYTES), maximumBytes)
  } catch (cause) {
    throw new BodyError('content cannot be decompressed', { step: 'body.restore', peer, cause })
  }
}

function inflate (content: Uint8Array, maximumBytes: number, dictionary?: Buffer): Buffer {
  return inflateRawSync(content, { dictionary, maxOutputLength: maximumBytes })
}

function applyDelta (base: string, delta: Buffer, maximumBytes: number): Uint8Array {
  const text = Buffer.from(applyTextDelta(base, delta.toString('utf8'), maximumBytes))
  if (text.length > maximumBytes) throw new RangeError(`text of ${text.length} bytes exceeds the limit`)
  return text
}
