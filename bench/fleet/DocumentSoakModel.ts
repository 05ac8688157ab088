/** Model of the accepted versions in the document soak, and the checks against it. */
import type { FailureDomain, ServiceName } from '../../src/common/Types.js'
import { ISnapshotService, type IReportService } from '../../src/distribution/Services.js'
import { AcceptedDocuments } from '../../src/documents/AcceptedDocuments.js'
import type { Fleet } from '../../testing/fleet/Fleet.js'
import type { FleetNode } from '../../testing/fleet/FleetNode.js'

/** Observes each node externally, independently of the invariants within the program. */
export class DocumentSoakModel {
  /** Number of times that the active version of a service on a node decreased. */
  public versionRegressions = 0
  /** Number of times that a report counted more members at or above a version than had applied it. */
  public overcountedReports = 0
  /** Number of times that two submissions were accepted as the same version of a service. */
  public duplicateVersions = 0
  private readonly _accepted: AcceptedDocuments
  /** Active versions on every node that was ever started. */
  private readonly _observed: Array<{ readonly failureDomain: FailureDomain, readonly versions: ReadonlyMap<ServiceName, number> }> = []
  private readonly _watched = new WeakSet<FleetNode>()
  private readonly _acceptedVersions = new Set<string>()

  constructor (private readonly _fleet: Fleet) {
    this._accepted = new AcceptedDocuments({ table: _fleet.platform.plainTable, objects: _fleet.platform.plainObjects })
  }

  /** Starts observing all nodes that are not observed yet. */
  public watchAll (): void {
    for (const node of this._fleet.nodes) if (!this._watched.has(node)) this._watch(node)
  }

  /** Records an accepted version. */
  public recordAccepted (service: string, version: number): void {
    const key = `${service} ${version}`
    if (this._acceptedVersions.has(key)) this.duplicateVersions++
    this._acceptedVersions.add(key)
  }

  /** Newest accepted version of a service; 0 if there is none. */
  public async newest (service: string): Promise<{ readonly version: number, readonly isTombstone: boolean }> {
    return await this._accepted.readNewest(service as ServiceName) ?? { version: 0, isTombstone: false }
  }

  /** Whether the newest accepted version of every service is active on every node. */
  public async hasConverged (): Promise<boolean> {
    const { changes } = await this._accepted.readAll()
    return this._fleet.nodes.every((node) => changes.every((change) => node.activeVersion(change.service) === change.version))
  }

  /** Compares the stored reports with all nodes that were ever started; a stopped node counts with its last versions. */
  public async checkReports (): Promise<void> {
    for (const report of await this._readReports()) {
      const nodes = this._observed.filter((observed) => observed.failureDomain === report.failureDomain)
      for (const { service, versions } of report.services) {
        for (const { version } of versions) {
          const counted = versions.filter((each) => each.version >= version).reduce((sum, each) => sum + each.members, 0)
          const actual = nodes.filter((node) => (node.versions.get(service) ?? 0) >= version).length
          if (counted > actual) this.overcountedReports++
        }
      }
    }
  }

  /** Whether the reports state that the newest version of every service is active on every member of every failure domain. */
  public async isReportedComplete (): Promise<boolean> {
    const { changes } = await this._accepted.readAll()
    const reports = await this._readReports()
    if (reports.length !== this._fleet.domains) return false
    return reports.every((report) => changes.every((change) => {
      const service = report.services.find((each) => each.service === change.service)
      const members = this._fleet.nodes.filter((node) => node.options.failureDomain === report.failureDomain).length
      const newest = service?.versions[0]
      return report.isHeard && report.members === members && newest?.version === change.version && newest.members === members
    }))
  }

  private _readReports (): ReturnType<IReportService['read']> {
    return this._fleet.nodes[0].reports.read(this._fleet.clock.now())
  }

  private _watch (node: FleetNode): void {
    this._watched.add(node)
    const activeVersions = new Map<ServiceName, number>()
    this._observed.push({ failureDomain: node.options.failureDomain, versions: activeVersions })
    for (const { service, version } of node.get(ISnapshotService).current.documents.values()) activeVersions.set(service, version)
    node.get(ISnapshotService).onReplaced((snapshot) => {
      for (const { service, version } of snapshot.documents.values()) {
        if (version < (activeVersions.get(service) ?? 0)) this.versionRegressions++
        activeVersions.set(service, version)
      }
    })
  }
}
