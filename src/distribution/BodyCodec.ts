/** Compresses texts for the network, against an earlier version where the receiver has one. */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { hashContent } from '../common/Ids.js'
import { SavoryknotError } from '../common/SavoryknotError.js'
import type { ContentHash } from '../common/Types.js'

/** A body could not be inflated within its limit, or is not what its hash says. */
export class BodyError extends SavoryknotError {}

/** Largest text that is inflated, in bytes. */
export const MAXIMUM_TEXT_BYTES = 256 * 1024

/** DEFLATE can refer back no further than this. */
const WINDOW_BYTES = 32 * 1024

/** Compresses `text`; with `base` it becomes a delta that only a holder of `base` can read. */
export function encodeBody (text: string, base: string | undefined): Buffer {
  return deflateRawSync(text, { dictionary: dictionaryOf(base) })
}

/** Restores a text and checks it. Throws `BodyError`. */
export function decodeBody (content: Uint8Array, base: string | undefined, hash: ContentHash, peer: string): string {
  const text = inflate(content, base, peer)
  if (hashContent(text) !== hash) throw new BodyError('content differs from its hash', { step: 'body.verify', peer })
  return text.toString('utf8')
}

/** Inflates with a bounded output. */
function inflate (content: Uint8Array, base: string | undefined, peer: string): Buffer {
  try {
    return inflateRawSync(content, { dictionary: dictionaryOf(base), maxOutputLength: MAXIMUM_TEXT_BYTES })
  } catch (cause) {
    throw new BodyError('content cannot be inflated', { step: 'body.inflate', peer, cause })
  }
}

/** The part of the base that a delta may refer to. */
function dictionaryOf (base: string | undefined): Buffer | undefined {
  if (base === undefined || base.length === 0) return undefined
  return Buffer.from(base).subarray(-WINDOW_BYTES)
}
