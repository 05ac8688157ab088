/** Values of the rows of accepted documents, and their check when they are read. */
import { z } from 'zod'
import { isName } from '../../common/Ids.js'
import { SavoryknotError } from '../../common/SavoryknotError.js'
import type {
  ChangeSequence, ContentHash, DocumentVersion, ResourceName, ServiceName, SubmissionId, TeamName, Timestamp
} from '../../common/Types.js'
import type { IRow } from '../../platform/Types.js'
import type { ResourceKind } from '../References.js'
import type { IAcceptedChange } from '../Types.js'

/** A row of the platform does not have the expected form. */
export class MalformedRowError extends SavoryknotError {}

/** A resource as rows name it. */
export interface IResourceEntry {
  readonly kind: ResourceKind
  readonly resource: ResourceName
}

/** A resource of another service that a document refers to. */
export interface IReferenceEntry extends IResourceEntry {
  readonly service: ServiceName
}

/** Newest version of a service with what later submissions are checked against. */
export interface IDocumentRow {
  readonly change: IAcceptedChange
  /** Kept over a deletion. */
  readonly owner: TeamName
  readonly exports: readonly IResourceEntry[]
  readonly references: readonly IReferenceEntry[]
}

/** What one service refers to in another. */
export interface IDependent {
  readonly service: ServiceName
  readonly resources: readonly IResourceEntry[]
}

/** What the trimming of the change log needs of a row. The row also holds the change. */
export interface ILogRow {
  readonly sequence: ChangeSequence
  readonly submission: SubmissionId
}

/** An accepted submission. */
export interface ISubmissionRow {
  readonly change: IAcceptedChange
}

const name = z.string().refine(isName)
const number = z.number().int().min(0)

// Newer software may know further kinds.
const kind = z.string().transform((text) => text as ResourceKind)
const resourceSchema = z.object({ kind, resource: name.transform((text) => text as ResourceName) })
const service = name.transform((text) => text as ServiceName)

export const CHANGE_SCHEMA: z.ZodType<IAcceptedChange> = z.object({
  service,
  version: number.transform((value) => value as DocumentVersion),
  hash: z.string().regex(/^[0-9a-f]{64}$/).transform((text) => text as ContentHash),
  isTombstone: z.boolean(),
  sequence: number.transform((value) => value as ChangeSequence),
  author: z.string(),
  acceptedAt: z.number().transform((value) => value as Timestamp)
})

/** A row of the change log. */
export const LOG_ROW_SCHEMA: z.ZodType<ILogRow> = z.object({
  sequence: number.transform((value) => value as ChangeSequence),
  submission: z.string().transform((text) => text as SubmissionId)
})

export const DOCUMENT_ROW_SCHEMA: z.ZodType<IDocumentRow> = z.object({
  change: CHANGE_SCHEMA,
  owner: name.transform((text) => text as TeamName),
  exports: z.array(resourceSchema),
  references: z.array(resourceSchema.extend({ service }))
})

export const DEPENDENTS_SCHEMA: z.ZodType<readonly IDependent[]> = z.array(z.object({ service, resources: z.array(resourceSchema) }))

export const SUBMISSION_ROW_SCHEMA: z.ZodType<ISubmissionRow> = z.object({ change: CHANGE_SCHEMA })

export const HEAD_SCHEMA = z.object({ sequence: number.transform((value) => value as ChangeSequence) })

/** Reads a row's value; throws `MalformedRowError`. Unknown fields of newer software are ignored. */
export function decodeRow<TValue> (row: IRow, schema: z.ZodType<TValue>): TValue {
  try {
    return schema.parse(JSON.parse(row.value))
  } catch (cause) {
    throw new MalformedRowError(`row ${row.key} has an unexpected form`, { step: 'documents.decode', peer: 'table service', cause })
  }
}

/** Writes a row's value; throws `MalformedRowError` rather than write what no reader could read. */
export function encodeRow (value: object, schema: z.ZodType): string {
  const result = schema.safeParse(value)
  if (result.success) return JSON.stringify(value)
  throw new MalformedRowError('value is not fit for its row', { step: 'documents.encode', peer: 'table service', cause: result.error })
}

export function isSameResource (left: IResourceEntry, right: IResourceEntry): boolean {
  return left.kind === right.kind && left.resource === right.resource
}
