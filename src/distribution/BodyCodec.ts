/** Compresses texts for the network, against an earlier version where the receiver has one. */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { hashContent } from '../common/Ids.js'
import { SavoryknotError } from '../common/SavoryknotError.js'
import type { ContentHash } from '../common/Types.js'
import { applyTextDelta, createTextDelta, DELTA_EXTRA_BYTES } from './TextDelta.js'

/** A body could not be inflated within its limit, or is not what its hash says. */
export class BodyError extends SavoryknotError {}

/** Where a body came from and how large its text may be. */
export interface IBodySource {
  readonly peer: string
  /** Largest text that is restored, in bytes. */
  readonly maximumBytes: number
}

/** Largest text of a document, in bytes. */
export const MAXIMUM_DOCUMENT_BYTES = 256 * 1024

/** DEFLATE can refer back no further than this. */
const WINDOW_BYTES = 32 * 1024

/**
 * Compresses `text`; with `base` it becomes a delta that only a holder of `base` can read. A base within reach of DEFLATE
 * is its dictionary; against a longer one the differences are found first, wherever they are, and then deflated.
 */
export function encodeBody (text: string, base: string | undefined): Buffer {
  if (base === undefined || base.length === 0) return deflateRawSync(text)
  const dictionary = Buffer.from(base)
  if (dictionary.length <= WINDOW_BYTES) return deflateRawSync(text, { dictionary })
  return deflateRawSync(createTextDelta(base, text))
}

/** Restores a text and checks it. Throws `BodyError`. */
export function decodeBody (content: Uint8Array, base: string | undefined, hash: ContentHash, source: IBodySource): string {
  const text = restore(content, base, source)
  if (hashContent(text) !== hash) throw new BodyError('content differs from its hash', { step: 'body.verify', peer: source.peer })
  return Buffer.from(text.buffer, text.byteOffset, text.byteLength).toString('utf8')
}

/** Restores with a bounded output. */
function restore (content: Uint8Array, base: string | undefined, { peer, maximumBytes }: IBodySource): Uint8Array {
  try {
    if (base === undefined || base.length === 0) return inflate(content, maximumBytes)
    const dictionary = Buffer.from(base)
    if (dictionary.length <= WINDOW_BYTES) return inflate(content, maximumBytes, dictionary)
    return apply(base, inflate(content, maximumBytes + DELTA_EXTRA_BYTES), maximumBytes)
  } catch (cause) {
    throw new BodyError('content cannot be restored', { step: 'body.restore', peer, cause })
  }
}

function inflate (content: Uint8Array, maximumBytes: number, dictionary?: Buffer): Buffer {
  return inflateRawSync(content, { dictionary, maxOutputLength: maximumBytes })
}

function apply (base: string, delta: Buffer, maximumBytes: number): Uint8Array {
  const text = Buffer.from(applyTextDelta(base, delta.toString('utf8'), maximumBytes))
  if (text.length > maximumBytes) throw new RangeError(`text of ${text.length} bytes is above the limit`)
  return text
}
