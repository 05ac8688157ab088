/** The versions of an accepted set whose texts came with it. */
import type { IAcceptedSet } from './Services.js'
import type { IVersionedText } from './Types.js'

/** Versions that need no further read; a tombstone never needs one. */
export function textsOf (set: IAcceptedSet): IVersionedText[] {
  const versions: IVersionedText[] = []
  for (const { service, version, hash, isTombstone } of set.changes) {
    const text = isTombstone ? '' : set.texts?.get(hash)
    if (text !== undefined) versions.push({ service, version, hash, isTombstone, text })
  }
  return versions
}
