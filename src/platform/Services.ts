/** Interfaces of the services of the platform. A deployment connects its platform by implementing `ITableService` and `IObjectStore`. */
import { createServiceKey } from '../common/Services.js'
import type { Milliseconds } from '../common/Types.js'
import type {
  IChangeBatch, IRow, IRowReference, IRowScan, IStoredObject, ITransaction, ObjectExpectation, ObjectKey, ObjectWriteOutcome,
  StorePosition, TableName, TransactionOutcome
} from './Types.js'

/**
 * Transactional table service. Transactions are serializable, and a read sees every transaction
 * whose response arrived before the read started.
 *
 * Every method rejects with `PlatformUnavailableError` if it is certain that nothing was written,
 * and with `OutcomeUnknownError` if a write may have taken effect.
 */
export interface ITableService {
  read (reference: IRowReference): Promise<IRow | undefined>
  scan (scan: IRowScan): Promise<readonly IRow[]>
  transact (transaction: ITransaction): Promise<TransactionOutcome>
}

/** Returns the changed rows of a table. Rejects with the same errors as reads of `ITableService`. */
export interface IChangeFeed {
  /**
   * Reads a consistent snapshot of the complete table.
   * Rejects with `PlatformUnavailableError` if the response does not start within `responseTimeout`.
   */
  readAll (table: TableName, responseTimeout: Milliseconds): Promise<IChangeBatch>
  /**
   * Long poll: returns the changes after `position` as soon as there is one, or no rows after `wait`.
   * Rejects with `HistoryLostError` if the store no longer has all of these changes, and with
   * `PlatformUnavailableError` if the response does not start within `responseTimeout` after the end of `wait`.
   */
  changesAfter (table: TableName, position: StorePosition, wait: Milliseconds, responseTimeout: Milliseconds): Promise<IChangeBatch>
}

/** Object store. Rejects with the same errors as `ITableService`. */
export interface IObjectStore {
  get (key: ObjectKey): Promise<IStoredObject | undefined>
  put (key: ObjectKey, content: Uint8Array, expected: ObjectExpectation): Promise<ObjectWriteOutcome>
  delete (key: ObjectKey): Promise<void>
}

export const ITableService = createServiceKey<ITableService>('platform.table')
export const IObjectStore = createServiceKey<IObjectStore>('platform.objects')
export const IChangeFeed = createServiceKey<IChangeFeed>('platform.changes')
