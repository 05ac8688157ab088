/** Selects the versions of an accepted set whose texts are included. */
import type { IAcceptedSet } from './Services.js'
import type { IVersionedText } from './Types.js'

/** Versions whose text need not be read from the store; the text of a tombstone is empty. */
export function versionsWithText (set: IAcceptedSet): IVersionedText[] {
  const versions: IVersionedText[] = []
  for (const { service, version, hash, isTombstone } of set.changes) {
    const text = isTombstone ? '' : set.texts?.get(hash)
    if (text !== undefined) versions.push({ service, version, hash, isTombstone, text })
  }
  return versions
}
