/** Interfaces of the distribution of documents, and of the reports on the active versions. */
import { createServiceKey } from '../common/Services.js'
import type { DocumentVersion, FailureDomain, IEvent, NodeId, ServiceName, Timestamp } from '../common/Types.js'
import type { IAcceptedChange, IRejection, ISnapshot, IVersionedText } from '../documents/Types.js'

/** Provides the active snapshot on this node. */
export interface ISnapshotService {
  readonly current: ISnapshot
  /** Fires after the snapshot was replaced, with the new one. */
  readonly onReplaced: IEvent<ISnapshot>
  /** Versions that were received but are not active, with the reason. */
  readonly rejections: readonly IRejection[]
  /** Stores the versions that are newer than the stored ones, and applies each service's newest version completely or not at all. */
  applyNewer (versions: readonly IVersionedText[], now: Timestamp): void
}

/** Exchanges versions with the peers to which the overlay has links. */
export interface IAnnounceService {
  /** Peers whose digest was equal to the digest of this node at least once after they had completed their catch-up. */
  readonly confirmedPeers: readonly NodeId[]
  /** Number of peers with which versions are exchanged. */
  readonly peerCount: number
  /** Notifies the peers whether they may confirm their own catch-up against this node. */
  setCaughtUp (isCaughtUp: boolean): void
}

/** Reads accepted versions from the store of the platform. */
export interface ISourceService {
  /** Adds a version that was accepted through this node, so that its distribution does not wait for the next poll of the change log. */
  recordAccepted (change: IAcceptedChange, text: string, now: Timestamp): void
}

/** Source against which the catch-up of a starting node was confirmed. */
export type CatchUpSource =
  | { readonly kind: 'store' }
  | { readonly kind: 'peers', readonly peers: readonly NodeId[] }

/** Brings a starting node up to date before it serves requests. */
export interface ICatchUpService {
  /** Resolves when the node may serve requests. */
  readonly completed: Promise<CatchUpSource>
  /** Undefined until the catch-up has completed. */
  readonly source: CatchUpSource | undefined
}

/** Active versions in one failure domain, as collected by the report collector of the domain. */
export interface IDomainReport {
  readonly failureDomain: FailureDomain
  readonly writtenAt: Timestamp
  /** False if the report is missing or too old. */
  readonly isHeard: boolean
  /** Number of members that are expected to have activated every version. */
  readonly members: number
  readonly services: readonly IServiceReport[]
  /** Counts of good and bad responses by service and time bucket; buckets of older counts are longer than a minute. */
  readonly burn: readonly IBurnMinute[]
}

/** Counts of good and bad responses of one service in one minute, or in the longer bucket that starts at this minute. */
export interface IBurnMinute {
  readonly service: ServiceName
  /** Start of the minute or bucket. */
  readonly minute: Timestamp
  readonly good: number
  readonly bad: number
}

/** Number of members of one failure domain on which each version of a service is active, and rejections of versions. */
export interface IServiceReport {
  readonly service: ServiceName
  /** Number of members by active version, newest version first. */
  readonly versions: ReadonlyArray<{ readonly version: DocumentVersion, readonly members: number }>
  readonly rejections: ReadonlyArray<{ readonly node: NodeId, readonly version: DocumentVersion, readonly reason: string }>
}

/** Collects and reads reports. */
export interface IReportService {
  /** Sends counts of this node to the collector of its failure domain; counts of one service and minute are added up. */
  addBurn (counts: readonly IBurnMinute[], now: Timestamp): void
  /** Reports of all failure domains, including those whose report is missing or too old. */
  read (now: Timestamp): Promise<readonly IDomainReport[]>
}

export const ISnapshotService = createServiceKey<ISnapshotService>('distribution.snapshot')
export const IAnnounceService = createServiceKey<IAnnounceService>('distribution.announce')
export const ISourceService = createServiceKey<ISourceService>('distribution.source')
export const ICatchUpService = createServiceKey<ICatchUpService>('distribution.catch-up')
export const IReportService = createServiceKey<IReportService>('distribution.reports')
