/** Reads and replaces the checkpoint in the object store. */
import type { IObjectStore } from '../../platform/Services.js'
import type { ObjectExpectation } from '../../platform/Types.js'
import { decodeCheckpoint, encodeCheckpoint, type ICheckpoint } from './CheckpointCodec.js'
import { CHECKPOINT_OBJECT } from './Tables.js'

/** What is in the place of the checkpoint. */
export interface IStoredCheckpoint {
  /** Condition under which it may be replaced. */
  readonly expected: ObjectExpectation
  /** Undefined if there is none, or none that can be read. */
  readonly checkpoint: ICheckpoint | undefined
  /** True if an object is there that is no checkpoint of the known format. */
  readonly isUnreadable: boolean
}

export class CheckpointStore {
  constructor (private readonly _objects: IObjectStore) {}

  public async read (): Promise<IStoredCheckpoint> {
    const stored = await this._objects.get(CHECKPOINT_OBJECT)
    if (stored === undefined) return { expected: 'absent', checkpoint: undefined, isUnreadable: false }
    const checkpoint = await decodeCheckpoint(stored.content)
    return { expected: stored.revision, checkpoint, isUnreadable: checkpoint === undefined }
  }

  /** True if it was written. A checkpoint only replaces the one that its writer has read, so its sequence never falls. */
  public async write (checkpoint: ICheckpoint, expected: ObjectExpectation): Promise<boolean> {
    const { isWritten } = await this._objects.put(CHECKPOINT_OBJECT, await encodeCheckpoint(checkpoint), expected)
    return isWritten
  }
}
