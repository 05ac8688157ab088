/** Digests of the member view, by which two nodes find what differs without sending everything. */
import { createHash } from 'node:crypto'
import type { NodeId } from '../common/Types.js'
import type { IMemberVersion } from './RecordCodec.js'

/** Buckets over which members are spread by hash of their id. */
export const MEMBER_BUCKETS = 256

/** Hexadecimal digits that tell the bucket. */
const BUCKET_DIGITS = 2

const WORD_BYTES = 4
const DIGEST_BYTES = 2 * WORD_BYTES

/** Bucket of a member. Ids are random hexadecimal digits; ids of another form fall into few buckets, which costs only bytes. */
export function bucketOf (id: NodeId): number {
  const bucket = Number.parseInt(id.slice(0, BUCKET_DIGITS), 16)
  return Number.isNaN(bucket) ? 0 : bucket
}

/** Keeps eight bytes for each bucket, the exclusive or of its members; costs the same for a change whatever the number of members. */
export class MemberDigest {
  private readonly _words = new Uint32Array(MEMBER_BUCKETS * 2)

  /** Adds a member, or removes it if it was added before with the same version. */
  public toggle (member: IMemberVersion): void {
    const hash = createHash('sha256').update(`${member.id}:${member.incarnation}:${member.sequence}:${member.state}`).digest()
    const start = 2 * bucketOf(member.id)
    this._words[start] = (this._words[start] as number) ^ hash.readUInt32LE(0)
    this._words[start + 1] = (this._words[start + 1] as number) ^ hash.readUInt32LE(WORD_BYTES)
  }

  /** Eight bytes over all buckets. */
  public whole (): Buffer {
    return createHash('sha256').update(this.buckets()).digest().subarray(0, DIGEST_BYTES)
  }

  /** The digests of all buckets. */
  public buckets (): Buffer {
    const bytes = Buffer.alloc(MEMBER_BUCKETS * DIGEST_BYTES)
    this._words.forEach((word, position) => bytes.writeUInt32LE(word, position * WORD_BYTES))
    return bytes
  }

  /** Buckets in which `other`, the digests of another node, differs; undefined if it has another length. */
  public differingBuckets (other: Uint8Array): readonly number[] | undefined {
    const own = this.buckets()
    if (other.length !== own.length) return undefined
    const differing: number[] = []
    for (let bucket = 0; bucket < MEMBER_BUCKETS; bucket++) {
      const start = bucket * DIGEST_BYTES
      if (own.compare(other, start, start + DIGEST_BYTES, start, start + DIGEST_BYTES) !== 0) differing.push(bucket)
    }
    return differing
  }
}
