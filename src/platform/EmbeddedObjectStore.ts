/** In-process object store, for a single machine and for tests. */
import type { IObjectStore } from './Services.js'
import type { IStoredObject, ObjectExpectation, ObjectKey, ObjectRevision, ObjectWriteOutcome } from './Types.js'

/** Stores objects in memory. */
export class EmbeddedObjectStore implements IObjectStore {
  private readonly _objects = new Map<ObjectKey, IStoredObject>()
  private _writes = 0

  public async get (key: ObjectKey): Promise<IStoredObject | undefined> {
    const stored = this._objects.get(key)
    if (stored === undefined) return undefined
    // A copy, so that a caller that modifies the buffer does not modify the store.
    return { revision: stored.revision, content: stored.content.slice() }
  }

  public async put (key: ObjectKey, content: Uint8Array, expected: ObjectExpectation): Promise<ObjectWriteOutcome> {
    if (!this._isConditionMet(key, expected)) return { isWritten: false }
    this._writes++
    const revision = String(this._writes) as ObjectRevision
    this._objects.set(key, { revision, content: Uint8Array.from(content) })
    return { isWritten: true, revision }
  }

  public async delete (key: ObjectKey): Promise<void> {
    this._objects.delete(key)
  }

  private _isConditionMet (key: ObjectKey, expected: ObjectExpectation): boolean {
    const stored = this._objects.get(key)
    if (expected === 'any') return true
    if (expected === 'absent') return stored === undefined
    return stored?.revision === expected
  }
}
