/** In-process platform that injects faults into the embedded stores and counts operations. */
import { EmbeddedObjectStore } from '../../src/platform/EmbeddedObjectStore.js'
import { EmbeddedTableService } from '../../src/platform/EmbeddedTableService.js'
import type { IObjectStore, ITableService } from '../../src/platform/Services.js'
import type {
  IRow, IRowReference, IRowScan, IStoredObject, ITransaction, ObjectExpectation, ObjectKey, ObjectWriteOutcome, TransactionOutcome
} from '../../src/platform/Types.js'
import { PlatformFaults, type IPlatformFaultsOptions } from './PlatformFaults.js'

/** Table service with injected faults. */
export class FaultyTableService implements ITableService {
  constructor (private readonly _inner: ITableService, private readonly _faults: PlatformFaults) {}

  public async read (reference: IRowReference): Promise<IRow | undefined> {
    const row = await this._faults.run('read', () => this._inner.read(reference))
    this._faults.counts.readBytes += row?.value.length ?? 0
    return row
  }

  public async scan (scan: IRowScan): Promise<readonly IRow[]> {
    const rows = await this._faults.run('read', () => this._inner.scan(scan))
    for (const { value } of rows) this._faults.counts.readBytes += value.length
    return rows
  }

  public transact (transaction: ITransaction): Promise<TransactionOutcome> {
    return this._faults.run('write', () => this._inner.transact(transaction))
  }
}

/** Object store with injected faults. */
export class FaultyObjectStore implements IObjectStore {
  constructor (private readonly _inner: IObjectStore, private readonly _faults: PlatformFaults) {}

  public async get (key: ObjectKey): Promise<IStoredObject | undefined> {
    const stored = await this._faults.run('read', () => this._inner.get(key))
    this._faults.counts.readBytes += stored?.content.length ?? 0
    return stored
  }

  public put (key: ObjectKey, content: Uint8Array, expected: ObjectExpectation): Promise<ObjectWriteOutcome> {
    return this._faults.run('write', () => this._inner.put(key, content, expected))
  }

  public delete (key: ObjectKey): Promise<void> {
    return this._faults.run('write', () => this._inner.delete(key))
  }
}

/** Platform for one test. `faults` applies to all users of `table` and `objects`. */
export class FaultyPlatform {
  public readonly faults: PlatformFaults
  public readonly table: ITableService
  public readonly objects: IObjectStore
  /** Access to the same contents without faults and counts, for assertions. */
  public readonly plainTable = new EmbeddedTableService()
  public readonly plainObjects = new EmbeddedObjectStore()

  constructor (private readonly _options: IPlatformFaultsOptions) {
    this.faults = new PlatformFaults(_options)
    this.table = new FaultyTableService(this.plainTable, this.faults)
    this.objects = new FaultyObjectStore(this.plainObjects, this.faults)
  }

  /** Returns separate access to the same contents with its own faults, for example for one failure domain. */
  public connect (): Pick<FaultyPlatform, 'faults' | 'table' | 'objects'> {
    const faults = new PlatformFaults(this._options)
    return { faults, table: new FaultyTableService(this.plainTable, faults), objects: new FaultyObjectStore(this.plainObjects, faults) }
  }
}
