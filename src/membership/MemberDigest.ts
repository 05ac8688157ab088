/** Digests of the member view; two nodes compare them to find differences without sending all records. */
import { createHash } from 'node:crypto'
import type { NodeId } from '../common/Types.js'
import type { IMemberVersion } from './RecordCodec.js'

/** Number of buckets; members are distributed over them by the first digits of their ids. */
export const MEMBER_BUCKETS = 256

/** Leading hexadecimal digits of an id that select its bucket. */
const BUCKET_DIGITS = 2

const WORD_BYTES = 4
const DIGEST_BYTES = 2 * WORD_BYTES

/** Bucket of a member. Ids are random hexadecimal digits; ids of another form share a few buckets, which only costs more bytes. */
export function bucketOf (id: NodeId): number {
  const bucket = Number.parseInt(id.slice(0, BUCKET_DIGITS), 16)
  return Number.isNaN(bucket) ? 0 : bucket
}

/** Keeps an eight-byte digest for each bucket, the exclusive or of the hashes of its members. A change takes constant time. */
export class MemberDigest {
  private readonly _words = new Uint32Array(MEMBER_BUCKETS * 2)

  /** Adds a member, or removes it if it was added before with the same version. */
  public toggle (member: IMemberVersion): void {
    const hash = createHash('sha256').update(`${member.id}:${member.incarnation}:${member.sequence}:${member.state}`).digest()
    const start = 2 * bucketOf(member.id)
    this._words[start] = (this._words[start] as number) ^ hash.readUInt32LE(0)
    this._words[start + 1] = (this._words[start + 1] as number) ^ hash.readUInt32LE(WORD_BYTES)
  }

  /** Eight-byte digest over all buckets. */
  public combinedDigest (): Buffer {
    return createHash('sha256').update(this.bucketDigests()).digest().subarray(0, DIGEST_BYTES)
  }

  /** Concatenated digests of all buckets. */
  public bucketDigests (): Buffer {
    const bytes = Buffer.alloc(MEMBER_BUCKETS * DIGEST_BYTES)
    this._words.forEach((word, position) => bytes.writeUInt32LE(word, position * WORD_BYTES))
    return bytes
  }

  /** Buckets whose digest differs from `other`, the bucket digests of another node; undefined if the lengths differ. */
  public differingBuckets (other: Uint8Array): readonly number[] | undefined {
    const own = this.bucketDigests()
    if (other.length !== own.length) return undefined
    const differing: number[] = []
    for (let bucket = 0; bucket < MEMBER_BUCKETS; bucket++) {
      const start = bucket * DIGEST_BYTES
      if (own.compare(other, start, start + DIGEST_BYTES, start, start + DIGEST_BYTES) !== 0) differing.push(bucket)
    }
    return differing
  }
}
