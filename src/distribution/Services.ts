/** Interfaces of the distribution of documents and of reports on what is in force. */
import { createServiceKey } from '../common/Services.js'
import type { DocumentVersion, FailureDomain, IEvent, NodeId, ServiceName, Timestamp } from '../common/Types.js'
import type { IAcceptedChange, IRejection, ISnapshot, IVersionedText } from '../documents/Types.js'

/** Holds the snapshot in force on this node. */
export interface ISnapshotService {
  readonly current: ISnapshot
  /** Fires after the snapshot was replaced, with the new one. */
  readonly onReplaced: IEvent<ISnapshot>
  /** Versions that arrived but are not in force, with the reason. */
  readonly rejections: readonly IRejection[]
  /** Takes versions that were learned; applies what can be applied whole. */
  offer (versions: readonly IVersionedText[], now: Timestamp): void
}

/** Takes part in the exchange of versions with the peers at the other ends of the overlay's links. */
export interface IAnnounceService {
  /** Peers that have completed their catch-up and whose versions this node holds, too. */
  readonly confirmedPeers: readonly NodeId[]
  /** Number of peers with which versions are exchanged. */
  readonly peerCount: number
  /** Tells the peers whether they may confirm their catch-up against this node. */
  setCaughtUp (isCaughtUp: boolean): void
}

/** Learns accepted versions from the platform. */
export interface ISourceService {
  /** Takes a version whose acceptance was answered at this node, so that nobody waits for the next poll of the change log. */
  recordAccepted (change: IAcceptedChange, text: string, now: Timestamp): void
}

/** What the catch-up of a starting node was confirmed against. */
export type CatchUpSource =
  | { readonly kind: 'store' }
  | { readonly kind: 'peers', readonly peers: readonly NodeId[] }

/** Brings a starting node up to date before it serves. */
export interface ICatchUpService {
  /** Resolves when the node may serve. */
  readonly completed: Promise<CatchUpSource>
  /** Undefined until it completed. */
  readonly source: CatchUpSource | undefined
}

/** Versions in force in one failure domain, as collected there. */
export interface IDomainReport {
  readonly failureDomain: FailureDomain
  readonly writtenAt: Timestamp
  /** False if the report is too old to count, or missing. */
  readonly isHeard: boolean
  /** Members that are expected to hold the version. */
  readonly members: number
  readonly services: readonly IServiceReport[]
  /** Counts of good and bad answers, one entry a service and minute. */
  readonly burn: readonly IBurnMinute[]
}

/** Good and bad answers of one service in one minute. */
export interface IBurnMinute {
  readonly service: ServiceName
  /** Start of the minute. */
  readonly minute: Timestamp
  readonly good: number
  readonly bad: number
}

/** How far one service's versions are in force in one failure domain. */
export interface IServiceReport {
  readonly service: ServiceName
  /** Number of members by version in force, the newest first. */
  readonly versions: ReadonlyArray<{ readonly version: DocumentVersion, readonly members: number }>
  readonly rejections: ReadonlyArray<{ readonly node: NodeId, readonly version: DocumentVersion, readonly reason: string }>
}

/** Collects and reads reports. */
export interface IReportService {
  /** Hands counts of this node to the collectors of its failure domain; counts of one minute are added up. */
  addBurn (counts: readonly IBurnMinute[], now: Timestamp): void
  /** Reports of all failure domains, also of those that are not heard. */
  read (now: Timestamp): Promise<readonly IDomainReport[]>
}

export const ISnapshotService = createServiceKey<ISnapshotService>('distribution.snapshot')
export const IAnnounceService = createServiceKey<IAnnounceService>('distribution.announce')
export const ISourceService = createServiceKey<ISourceService>('distribution.source')
export const ICatchUpService = createServiceKey<ICatchUpService>('distribution.catch-up')
export const IReportService = createServiceKey<IReportService>('distribution.reports')
