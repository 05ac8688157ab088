/** Reads and replaces the checkpoint in the object store. */
import type { IObjectStore } from '../../platform/Services.js'
import type { ObjectExpectation } from '../../platform/Types.js'
import { decodeCheckpoint, encodeCheckpoint, type ICheckpoint } from './CheckpointCodec.js'
import { CHECKPOINT_OBJECT } from './Tables.js'

/** Result of reading the checkpoint. */
export interface IStoredCheckpoint {
  /** Condition under which the stored object may be replaced. */
  readonly expected: ObjectExpectation
  /** Undefined if there is no readable checkpoint. */
  readonly checkpoint: ICheckpoint | undefined
  /** True if the stored object is not a checkpoint of the known format. */
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

  /** True if the checkpoint was written. It replaces only the one that its writer has read, so the stored sequence never decreases. */
  public async write (checkpoint: ICheckpoint, expected: ObjectExpectation): Promise<boolean> {
    const { isWritten } = await this._objects.put(CHECKPOINT_OBJECT, await encodeCheckpoint(checkpoint), expected)
    return isWritten
  }
}
