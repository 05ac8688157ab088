/** Combines the accepted versions with the versions that the failure domains report as in force. */
import type { IAcceptedChange, ISnapshot, IVersionEntry } from '../documents/Types.js'
import type { IAcceptedDocuments } from '../documents/Services.js'
import type { IDomainReport, IReportService, ISnapshotService } from '../distribution/Services.js'
import type { ServiceName, Timestamp } from '../common/Types.js'
import type { ServiceStatus } from '../generated/savoryknot/ServiceStatus.js'
import type { StatusReply } from '../generated/savoryknot/StatusReply.js'
import { toDomainStatus } from './OperatorMessages.js'

/** Dependencies of the status reader. */
export interface IStatusReaderOptions {
  readonly accepted: IAcceptedDocuments
  readonly reports: IReportService
  readonly snapshots: ISnapshotService
}

/** Accepted versions, and whether the store confirmed them. */
interface IAcceptedVersions {
  readonly entries: readonly IVersionEntry[]
  readonly isConfirmed: boolean
}

/** Reads the status of one service or of all services. */
export class StatusReader {
  constructor (private readonly _options: IStatusReaderOptions) {}

  /** Reads all services if `service` is undefined. Returns an empty list for an unknown service. */
  public async read (service: ServiceName | undefined, now: Timestamp): Promise<StatusReply> {
    const accepted = await this._readAccepted(service)
    const reports = await this._options.reports.read(now)
    return {
      services: accepted.entries.map((entry) => toServiceStatus(entry, reports, now)),
      isConfirmedByStore: accepted.isConfirmed
    }
  }

  private async _readAccepted (service: ServiceName | undefined): Promise<IAcceptedVersions> {
    try {
      return { entries: await this._readStore(service), isConfirmed: true }
    } catch {
      // While the store is unavailable, the current snapshot of this node is the best information.
      return { entries: entriesOf(this._options.snapshots.current, service), isConfirmed: false }
    }
  }

  private async _readStore (service: ServiceName | undefined): Promise<readonly IAcceptedChange[]> {
    if (service === undefined) return (await this._options.accepted.readAll()).changes
    const newest = await this._options.accepted.readNewest(service)
    return newest === undefined ? [] : [newest]
  }
}

/** Versions of a snapshot, of one service or of all. */
function entriesOf (snapshot: ISnapshot, service: ServiceName | undefined): readonly IVersionEntry[] {
  const documents = [...snapshot.documents.values()]
  return service === undefined ? documents : documents.filter((document) => document.service === service)
}

/** Status of one service. A failure domain without a current report never counts as in force. */
function toServiceStatus (entry: IVersionEntry, reports: readonly IDomainReport[], now: Timestamp): ServiceStatus {
  const domains = reports.map((report) => {
    return toDomainStatus(report, report.services.find((candidate) => candidate.service === entry.service), now)
  })
  return {
    service: entry.service,
    acceptedVersion: entry.version,
    isTombstone: entry.isTombstone,
    isInForceEverywhere: reports.length > 0 && reports.every((report) => isInForce(report, entry)),
    domains
  }
}

/** True if the failure domain has a current report, in which every member has at least the accepted version. */
function isInForce (report: IDomainReport, entry: IVersionEntry): boolean {
  if (!report.isHeard) return false
  const service = report.services.find((candidate) => candidate.service === entry.service)
  if (service === undefined) return false
  const upToDateMembers = service.versions
    .filter((count) => count.version >= entry.version)
    .reduce((sum, count) => sum + count.members, 0)
  return upToDateMembers >= report.members
}
