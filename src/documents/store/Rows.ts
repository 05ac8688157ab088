/** Schemas of the rows of accepted documents, checked when rows are read and written. */
import { z } from 'zod'
import { isName } from '../../common/Ids.js'
import { SavoryknotError } from '../../common/SavoryknotError.js'
import type {
  ChangeSequence, ContentHash, DocumentVersion, ResourceName, ServiceName, SubmissionId, TeamName, Timestamp
} from '../../common/Types.js'
import type { IRow } from '../../platform/Types.js'
import type { ResourceKind } from '../RouteReferences.js'
import type { IAcceptedChange } from '../Types.js'

/** The value of a row does not match its schema. */
export class MalformedRowError extends SavoryknotError {}

/** A resource as stored in rows. */
export interface IResourceEntry {
  readonly kind: ResourceKind
  readonly resource: ResourceName
}

/** A resource of another service that a document refers to. */
export interface IReferenceEntry extends IResourceEntry {
  readonly service: ServiceName
}

/** Newest version of a service with the data needed to check later submissions. */
export interface IDocumentRow {
  readonly change: IAcceptedChange
  /** Stays the same after a deletion. */
  readonly owner: TeamName
  readonly exports: readonly IResourceEntry[]
  readonly references: readonly IReferenceEntry[]
}

/** A service, and the resources of another service that it refers to. */
export interface IDependent {
  readonly service: ServiceName
  readonly resources: readonly IResourceEntry[]
}

/** Fields of a change log row that trimming needs. The row also contains the change. */
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

// Any text is accepted, because newer software may know further kinds.
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

/** Decodes a row's value; throws `MalformedRowError`. Unknown fields of newer software are ignored. */
export function decodeRow<TValue> (row: IRow, schema: z.ZodType<TValue>): TValue {
  try {
    return schema.parse(JSON.parse(row.value))
  } catch (cause) {
    throw new MalformedRowError(`row ${row.key} does not match its schema`, { step: 'documents.decode', peer: 'table service', cause })
  }
}

/** Encodes a row's value; throws `MalformedRowError` if readers could not decode the value. */
export function encodeRow (value: object, schema: z.ZodType): string {
  const result = schema.safeParse(value)
  if (result.success) return JSON.stringify(value)
  throw new MalformedRowError('value does not match the schema of its row', { step: 'documents.encode', peer: 'table service', cause: result.error })
}

export function isSameResource (left: IResourceEntry, right: IResourceEntry): boolean {
  return left.kind === right.kind && left.resource === right.resource
}
