/** Converts version entries between messages and typed objects. */
import { isName } from '../common/Ids.js'
import type { ContentHash, DocumentVersion, ServiceName } from '../common/Types.js'
import type { IVersionEntry } from '../documents/Types.js'
import type { ReceivedVersionEntry, VersionEntry } from '../generated/savoryknot/VersionEntry.js'

const HASH_BYTES = 32

/** Encodes an entry for a message. */
export function encodeVersionEntry (entry: IVersionEntry): VersionEntry {
  return { service: entry.service, version: entry.version, hash: Buffer.from(entry.hash, 'hex'), isTombstone: entry.isTombstone }
}

/** Decodes an entry of a message; undefined if its name, version or hash is invalid. */
export function decodeVersionEntry (entry: ReceivedVersionEntry): IVersionEntry | undefined {
  if (!isName(entry.service)) return undefined
  if (!Number.isSafeInteger(entry.version) || entry.version < 1) return undefined
  if (entry.hash.length !== HASH_BYTES) return undefined
  return {
    service: entry.service as ServiceName,
    version: entry.version as DocumentVersion,
    hash: entry.hash.toString('hex') as ContentHash,
    isTombstone: entry.isTombstone
  }
}
