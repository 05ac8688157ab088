/** Interfaces of the platform's services. A deployment fits its own by implementing these two. */
import { createServiceKey } from '../common/Services.js'
import type { Milliseconds } from '../common/Types.js'
import type {
  IChangeBatch, IRow, IRowReference, IRowScan, IStoredObject, ITransaction, ObjectExpectation, ObjectKey, ObjectWriteOutcome,
  StorePosition, TableName, TransactionOutcome
} from './Types.js'

/**
 * Transactional table service. Transactions are serializable, and a read sees every transaction
 * that was answered before the read began.
 *
 * Every method rejects with `PlatformUnavailableError` if it is certain that nothing was written,
 * and with `OutcomeUnknownError` if a write may have taken effect.
 */
export interface ITableService {
  read (reference: IRowReference): Promise<IRow | undefined>
  scan (scan: IRowScan): Promise<readonly IRow[]>
  transact (transaction: ITransaction): Promise<TransactionOutcome>
}

/** Tells which rows of a table changed. Errors are those of reads of `ITableService`. */
export interface IChangeFeed {
  /** The whole table as of one moment. Rejects with `PlatformUnavailableError` if the answer does not begin within `patience`. */
  readAll (table: TableName, patience: Milliseconds): Promise<IChangeBatch>
  /**
   * Changes after `position`, as soon as there is one or else, with no rows, after `wait`.
   * Rejects with `HistoryLostError` if the store no longer has all of them, and with
   * `PlatformUnavailableError` if the answer does not begin `patience` after the end of `wait`.
   */
  changesAfter (table: TableName, position: StorePosition, wait: Milliseconds, patience: Milliseconds): Promise<IChangeBatch>
}

/** Object store. Errors are those of `ITableService`. */
export interface IObjectStore {
  get (key: ObjectKey): Promise<IStoredObject | undefined>
  put (key: ObjectKey, content: Uint8Array, expected: ObjectExpectation): Promise<ObjectWriteOutcome>
  delete (key: ObjectKey): Promise<void>
}

export const ITableService = createServiceKey<ITableService>('platform.table')
export const IObjectStore = createServiceKey<IObjectStore>('platform.objects')
export const IChangeFeed = createServiceKey<IChangeFeed>('platform.changes')
