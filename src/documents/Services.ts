/** Interfaces for accepting documents, reading accepted documents and building snapshots. */
import { createServiceKey, type IService } from '../common/Services.js'
import type { ChangeSequence, ContentHash, DocumentVersion, IEvent, ServiceName, Timestamp } from '../common/Types.js'
import type {
  IAcceptedChange, IRejection, ISnapshot, ISubmission, IVersionedText, ParseResult, SubmissionOutcome
} from './Types.js'

/** Accepts documents by one conditional transaction. */
export interface IAcceptanceService {
  /** Rejects with a platform error if the outcome could not be determined; retry with the same id. */
  submit (submission: ISubmission, now: Timestamp): Promise<SubmissionOutcome>
  /** Fires once for each change that was accepted through this service. */
  readonly onAccepted: IEvent<IAcceptedChange>
}

/** Writes checkpoints of the accepted set, automatically as changes are accepted. */
export interface ICheckpointService extends IService {
  write (): Promise<CheckpointOutcome>
}

/** `overtaken`: another writer replaced the checkpoint first; no retry is needed. */
export type CheckpointOutcome = 'written' | 'overtaken' | 'up-to-date'

/** Reads accepted documents from the platform. */
export interface IAcceptedDocuments {
  /**
   * Accepted changes after `after` in order of sequence, at most `limit`.
   * For the trimmed part of the change log, only the newest change of each service is returned.
   */
  changesAfter (after: ChangeSequence, limit: number): Promise<readonly IAcceptedChange[]>
  /** The newest version of every service together with the sequence that it reflects. */
  readAll (): Promise<IAcceptedSet>
  /** Text by hash; undefined if the store lacks it. The hash has been verified. */
  readText (hash: ContentHash): Promise<string | undefined>
  /** Newest accepted change of a service. */
  readNewest (service: ServiceName): Promise<IAcceptedChange | undefined>
  /** Accepted changes of a service, the newest first. */
  readHistory (service: ServiceName, limit: number): Promise<readonly IAcceptedChange[]>
  readVersion (service: ServiceName, version: DocumentVersion): Promise<IAcceptedChange | undefined>
}

/** Newest version of every service. */
export interface IAcceptedSet {
  readonly sequence: ChangeSequence
  readonly changes: readonly IAcceptedChange[]
  /** Texts included in the set; the others are read with `readText`. */
  readonly texts?: ReadonlyMap<ContentHash, string>
}

/** Parses and checks the text of a document independently of other documents. */
export interface IDocumentParser {
  parse (text: string): ParseResult
}

/** Result of building a snapshot. */
export interface ISnapshotBuild {
  /** The previous snapshot itself if nothing could be applied. */
  readonly snapshot: ISnapshot
  readonly rejections: readonly IRejection[]
}

/** Builds immutable snapshots: versions never decrease, hashes are verified, and every reference is resolved. */
export interface ISnapshotBuilder {
  /** The snapshot without documents. */
  readonly empty: ISnapshot
  /** Applies as many of `candidates` as possible without an unresolved reference. */
  build (previous: ISnapshot, candidates: readonly IVersionedText[]): ISnapshotBuild
}

export const IAcceptanceService = createServiceKey<IAcceptanceService>('documents.acceptance')
export const ICheckpointService = createServiceKey<ICheckpointService>('documents.checkpoint')
export const IAcceptedDocuments = createServiceKey<IAcceptedDocuments>('documents.accepted')
export const IDocumentParser = createServiceKey<IDocumentParser>('documents.parser')
export const ISnapshotBuilder = createServiceKey<ISnapshotBuilder>('documents.snapshot-builder')
