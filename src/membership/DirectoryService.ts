/** Reads and writes the directory of a failure domain in the object store. */
import { DIRECTORY_OBJECT_INVALID } from './Events.js'
import {
  DIRECTORY_OBJECT_SCHEMA, DIRECTORY_SLOT_SCHEMA, DOMAIN_LIST_SCHEMA,
  type IDirectoryEntry, type IDirectoryObject, type IDirectoryRead, type IDomainList
} from './DirectoryTypes.js'
import type { ILogService } from '../common/Services.js'
import type { FailureDomain } from '../common/Types.js'
import type { IObjectStore } from '../platform/Services.js'
import type { ObjectExpectation, ObjectKey } from '../platform/Types.js'
import type { z } from 'zod'

/** Dependencies of DirectoryService. */
export interface IDirectoryServiceOptions {
  readonly objects: IObjectStore
  readonly log: ILogService
}

const DOMAIN_LIST_KEY = 'directory/failure-domains' as ObjectKey

/** Every method rejects with a platform error if the store does not respond. Writes return whether their condition was met. */
export class DirectoryService {
  constructor (private readonly _options: IDirectoryServiceOptions) {}

  public readMembers (failureDomain: FailureDomain): Promise<IDirectoryRead<IDirectoryObject>> {
    return this._read(membersKey(failureDomain), DIRECTORY_OBJECT_SCHEMA)
  }

  public writeMembers (failureDomain: FailureDomain, value: IDirectoryObject, expected: ObjectExpectation): Promise<boolean> {
    return this._write(membersKey(failureDomain), value, expected)
  }

  public readSlot (failureDomain: FailureDomain, slot: number): Promise<IDirectoryRead<IDirectoryEntry>> {
    return this._read(slotKey(failureDomain, slot), DIRECTORY_SLOT_SCHEMA)
  }

  public writeSlot (failureDomain: FailureDomain, slot: number, value: IDirectoryEntry, expected: ObjectExpectation): Promise<boolean> {
    return this._write(slotKey(failureDomain, slot), value, expected)
  }

  public readDomains (): Promise<IDirectoryRead<IDomainList>> {
    return this._read(DOMAIN_LIST_KEY, DOMAIN_LIST_SCHEMA)
  }

  public writeDomains (value: IDomainList, expected: ObjectExpectation): Promise<boolean> {
    return this._write(DOMAIN_LIST_KEY, value, expected)
  }

  private async _read<TObject> (key: ObjectKey, schema: z.ZodType<TObject, unknown>): Promise<IDirectoryRead<TObject>> {
    const stored = await this._options.objects.get(key)
    if (stored === undefined) return { value: undefined, expected: 'absent' }
    return { value: this._parse(key, stored.content, schema), expected: stored.revision }
  }

  private _parse<TObject> (key: ObjectKey, content: Uint8Array, schema: z.ZodType<TObject, unknown>): TObject | undefined {
    try {
      return schema.parse(JSON.parse(Buffer.from(content).toString('utf8')))
    } catch (error) {
      this._options.log.log(DIRECTORY_OBJECT_INVALID, { step: 'directory.read', key, reason: String(error).slice(0, 200) })
      return undefined
    }
  }

  private async _write (key: ObjectKey, value: object, expected: ObjectExpectation): Promise<boolean> {
    const outcome = await this._options.objects.put(key, Buffer.from(JSON.stringify(value)), expected)
    return outcome.isWritten
  }
}

function membersKey (failureDomain: FailureDomain): ObjectKey {
  return `directory/${failureDomain}/members` as ObjectKey
}

function slotKey (failureDomain: FailureDomain, slot: number): ObjectKey {
  return `directory/${failureDomain}/slot-${slot}` as ObjectKey
}
