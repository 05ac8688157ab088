/** Tables and keys under which documents are stored in the platform. */
import type { ChangeSequence, ContentHash, DocumentVersion, ServiceName, SubmissionId } from '../../common/Types.js'
import type { IRowReference, ObjectKey, RowKey, TableName } from '../../platform/Types.js'

/** Newest version of each service, by service. */
export const DOCUMENTS_TABLE = 'documents' as TableName
/** Accepted changes, by sequence. */
export const CHANGES_TABLE = 'changes' as TableName
/** All versions of each service, by service and version, the newest first. */
export const VERSIONS_TABLE = 'versions' as TableName
/** Accepted submissions, by id. */
export const SUBMISSIONS_TABLE = 'submissions' as TableName
/** Services that refer to a service, by the service referred to. */
export const DEPENDENTS_TABLE = 'dependents' as TableName
const HEAD_TABLE = 'change-head' as TableName

/** The row that holds the sequence of the newest change. */
export const HEAD_ROW: IRowReference = Object.freeze({ table: HEAD_TABLE, key: 'head' as RowKey })
/** The newest checkpoint. */
export const CHECKPOINT_OBJECT = 'checkpoint/newest' as ObjectKey
/** Sorts before every key of these tables. */
export const FIRST_KEY = '' as RowKey

/** Digits of a number in a key; numbers are padded so that keys sort numerically. */
const KEY_DIGITS = 16
const MAXIMUM_VERSION = Number.MAX_SAFE_INTEGER

export function documentRow (service: ServiceName): IRowReference {
  return { table: DOCUMENTS_TABLE, key: service as string as RowKey }
}

export function dependentsRow (service: ServiceName): IRowReference {
  return { table: DEPENDENTS_TABLE, key: service as string as RowKey }
}

export function submissionRow (id: SubmissionId): IRowReference {
  return { table: SUBMISSIONS_TABLE, key: id as string as RowKey }
}

export function changeRow (sequence: ChangeSequence): IRowReference {
  return { table: CHANGES_TABLE, key: changeKey(sequence) }
}

export function changeKey (sequence: number): RowKey {
  return String(sequence).padStart(KEY_DIGITS, '0') as RowKey
}

export function versionRow (service: ServiceName, version: DocumentVersion): IRowReference {
  // Higher versions get lower keys, so that a scan returns the newest first.
  const countdown = String(MAXIMUM_VERSION - version).padStart(KEY_DIGITS, '0')
  return { table: VERSIONS_TABLE, key: `${service}/${countdown}` as RowKey }
}

/** Key range of all versions of a service; the end is exclusive. */
export function versionKeyRange (service: ServiceName): { readonly fromKey: RowKey, readonly beforeKey: RowKey } {
  // '0' is the character after '/'.
  return { fromKey: `${service}/` as RowKey, beforeKey: `${service}0` as RowKey }
}

export function textObjectKey (hash: ContentHash): ObjectKey {
  return `text/${hash}` as ObjectKey
}
