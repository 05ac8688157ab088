/** Digest of a set of versions: 8 bytes, independent of the order in which they were added. */
import { createHash } from 'node:crypto'
import type { IVersionEntry } from '../documents/Types.js'

/** Size of a digest in a message. */
export const DIGEST_BYTES = 8

const DIGEST_BITS = 64

/** Sum modulo 2^64 of the fingerprints of all entries, kept up to date entry by entry. */
export class VersionDigest {
  private _sum = 0n

  /** The present value. */
  public get value (): bigint {
    return this._sum
  }

  /** Replaces `previous`, if there was one, by `entry`. */
  public replace (previous: IVersionEntry | undefined, entry: IVersionEntry): void {
    const removed = previous === undefined ? 0n : fingerprint(previous)
    this._sum = BigInt.asUintN(DIGEST_BITS, this._sum + fingerprint(entry) - removed)
  }
}

/** The message form of a digest. */
export function encodeDigest (value: bigint): Buffer {
  const bytes = Buffer.allocUnsafe(DIGEST_BYTES)
  bytes.writeBigUInt64BE(value)
  return bytes
}

/** The digest in a message; undefined if the message carries none. */
export function decodeDigest (bytes: Uint8Array): bigint | undefined {
  if (bytes.length !== DIGEST_BYTES) return undefined
  return Buffer.from(bytes).readBigUInt64BE()
}

/** First 64 bits of the hash over all parts of an entry. */
function fingerprint (entry: IVersionEntry): bigint {
  const hash = createHash('sha256')
  hash.update(`${entry.service}\n${entry.version}\n${entry.hash}\n${entry.isTombstone ? 1 : 0}`)
  return hash.digest().readBigUInt64BE()
}
