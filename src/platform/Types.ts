/** Data types of the transactional table service and the object store of the platform. */
import type { Brand } from '../common/Types.js'

/** Name of a table. */
export type TableName = Brand<string, 'TableName'>
/** Key of a row; rows of one table are ordered by the bytes of their key. */
export type RowKey = Brand<string, 'RowKey'>
/** Changes with every write of a row; compared for equality only. */
export type RowRevision = Brand<string, 'RowRevision'>
/** Position in the sequence of all changes of a store; increases with every change. */
export type StorePosition = Brand<number, 'StorePosition'>
/** Key of an object. */
export type ObjectKey = Brand<string, 'ObjectKey'>
/** Changes with every write of an object; compared for equality only. */
export type ObjectRevision = Brand<string, 'ObjectRevision'>

/** Identifies one row. */
export interface IRowReference {
  readonly table: TableName
  readonly key: RowKey
}

/** One row as read. */
export interface IRow {
  readonly key: RowKey
  readonly revision: RowRevision
  /** JSON text. */
  readonly value: string
}

/** Reads rows of one table in the order of their keys. */
export interface IRowScan {
  readonly table: TableName
  /** Inclusive lower bound of the keys. */
  readonly fromKey: RowKey
  /** Exclusive upper bound of the keys; without it the scan continues to the end of the table. */
  readonly beforeKey?: RowKey
  /** Maximum number of rows returned. */
  readonly limit: number
}

/** Condition on a row; a transaction commits only if all its conditions are met when it takes effect. */
export interface ICondition extends IRowReference {
  /** `'absent'`: the row must not exist; `'present'`: it must exist; otherwise it must have exactly this revision. */
  readonly expected: 'absent' | 'present' | RowRevision
}

/** Writes one row; without `value` the row is deleted. */
export interface IRowWrite extends IRowReference {
  readonly value?: string
}

/** Conditions and writes that are applied atomically. */
export interface ITransaction {
  readonly conditions: readonly ICondition[]
  readonly writes: readonly IRowWrite[]
}

/** Result of a transaction. */
export type TransactionOutcome =
  /** `revision` is the new revision of all written rows, if the platform returns it. */
  | { readonly isCommitted: true, readonly revision?: RowRevision }
  /** `failed` is the first condition that was not met. */
  | { readonly isCommitted: false, readonly failed: ICondition }

/** One object as read. */
export interface IStoredObject {
  readonly revision: ObjectRevision
  readonly content: Uint8Array
}

/** Condition of a write: `'absent'`: the object must not exist; otherwise it must have exactly this revision, unless `'any'`. */
export type ObjectExpectation = 'any' | 'absent' | ObjectRevision

/** Result of the write of an object. */
export type ObjectWriteOutcome =
  | { readonly isWritten: true, readonly revision: ObjectRevision }
  | { readonly isWritten: false }

/** A row, or its deletion, as returned by a change feed. */
export interface IChangedRow {
  readonly key: RowKey
  /** Position of the last change of the row. */
  readonly position: StorePosition
  /** Undefined for a row that was deleted. */
  readonly value?: string
}

/** Rows of one table that changed. */
export interface IChangeBatch {
  readonly rows: readonly IChangedRow[]
  /** The batch contains every change of the table up to this position. */
  readonly position: StorePosition
  /** True if the batch is the complete table; a row that is missing from it does not exist. */
  readonly isWhole: boolean
}
