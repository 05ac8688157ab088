/** Shapes of the platform's transactional table service and object store. */
import type { Brand } from '../common/Types.js'

/** Name of a table. */
export type TableName = Brand<string, 'TableName'>
/** Key of a row; rows of one table are ordered by the bytes of their key. */
export type RowKey = Brand<string, 'RowKey'>
/** Changes with every write of a row; compared for equality only. */
export type RowRevision = Brand<string, 'RowRevision'>
/** Place in the order of all changes of a store; grows with every change. */
export type StorePosition = Brand<number, 'StorePosition'>
/** Key of an object. */
export type ObjectKey = Brand<string, 'ObjectKey'>
/** Changes with every write of an object; compared for equality only. */
export type ObjectRevision = Brand<string, 'ObjectRevision'>

/** Names one row. */
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
  /** First key that may be returned. */
  readonly fromKey: RowKey
  /** First key that may not be returned; without it the scan goes to the table's end. */
  readonly beforeKey?: RowKey
  /** Most rows returned. */
  readonly limit: number
}

/** A transaction commits only if every condition holds when it takes effect. */
export interface ICondition extends IRowReference {
  /** `'absent'`: no such row; `'present'`: any revision; else this revision exactly. */
  readonly expected: 'absent' | 'present' | RowRevision
}

/** Writes one row; without `value` the row is deleted. */
export interface IRowWrite extends IRowReference {
  readonly value?: string
}

/** Conditions and writes that take effect together or not at all. */
export interface ITransaction {
  readonly conditions: readonly ICondition[]
  readonly writes: readonly IRowWrite[]
}

/** Answer to a transaction. */
export type TransactionOutcome =
  /** `revision` is that of every row written, where the platform tells it. */
  | { readonly isCommitted: true, readonly revision?: RowRevision }
  /** The first condition that did not hold. */
  | { readonly isCommitted: false, readonly failed: ICondition }

/** One object as read. */
export interface IStoredObject {
  readonly revision: ObjectRevision
  readonly content: Uint8Array
}

/** Condition of an object's write. */
export type ObjectExpectation = 'any' | 'absent' | ObjectRevision

/** Answer to the write of an object. */
export type ObjectWriteOutcome =
  | { readonly isWritten: true, readonly revision: ObjectRevision }
  | { readonly isWritten: false }

/** One row as a change feed gives it. */
export interface IChangedRow {
  readonly key: RowKey
  /** Place of the row's last change. */
  readonly position: StorePosition
  /** Undefined for a row that was deleted. */
  readonly value?: string
}

/** Rows of one table that changed. */
export interface IChangeBatch {
  readonly rows: readonly IChangedRow[]
  /** The batch holds every change of the table up to here. */
  readonly position: StorePosition
  /** True if the batch is the whole table; a row that it lacks does not exist. */
  readonly isWhole: boolean
}
