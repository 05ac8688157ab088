/** Digest of a set of versions: 8 bytes, independent of the order in which the versions were added. */
import { createHash } from 'node:crypto'
import type { IVersionEntry } from '../documents/Types.js'

/** Size of a digest in a message. */
export const DIGEST_BYTES = 8

const DIGEST_BITS = 64

/** Sum modulo 2^64 of the fingerprints of all entries, updated with each replaced entry. */
export class VersionDigest {
  private _sum = 0n

  public get value (): bigint {
    return this._sum
  }

  /** Replaces `previous`, if defined, by `entry`. */
  public replace (previous: IVersionEntry | undefined, entry: IVersionEntry): void {
    const removed = previous === undefined ? 0n : fingerprint(previous)
    this._sum = BigInt.asUintN(DIGEST_BITS, this._sum + fingerprint(entry) - removed)
  }
}

/** Encodes a digest for a message. */
export function encodeDigest (value: bigint): Buffer {
  const bytes = Buffer.allocUnsafe(DIGEST_BYTES)
  bytes.writeBigUInt64BE(value)
  return bytes
}

/** Decodes the digest of a message; undefined if its length is wrong. */
export function decodeDigest (bytes: Uint8Array): bigint | undefined {
  if (bytes.length !== DIGEST_BYTES) return undefined
  return Buffer.from(bytes).readBigUInt64BE()
}

/** First 64 bits of the SHA-256 hash over all fields of an entry. */
function fingerprint (entry: IVersionEntry): bigint {
  const hash = createHash('sha256')
  hash.update(`${entry.service}\n${entry.version}\n${entry.hash}\n${entry.isTombstone ? 1 : 0}`)
  return hash.digest().readBigUInt64BE()
}
