/** What a soak knows of the accepted versions, and what it checks against it. */
import type { FailureDomain, ServiceName } from '../../src/common/Types.js'
import { ISnapshotService, type IReportService } from '../../src/distribution/Services.js'
import { AcceptedDocuments } from '../../src/documents/AcceptedDocuments.js'
import type { Fleet } from '../../testing/fleet/Fleet.js'
import type { FleetNode } from '../../testing/fleet/FleetNode.js'

/** Watches each node from outside, apart from the invariants inside the program. */
export class DocumentSoakModel {
  /** Times that a version in force on a node was followed by a lower one. */
  public stepsBack = 0
  /** Times that a report counted more members at a version or above than had it. */
  public reportsAhead = 0
  /** Times that two submissions were accepted as one version of one service. */
  public doubleVersions = 0
  private readonly _accepted: AcceptedDocuments
  /** Versions in force on every node that ever was. */
  private readonly _seen: Array<{ readonly failureDomain: FailureDomain, readonly versions: ReadonlyMap<ServiceName, number> }> = []
  private readonly _watched = new WeakSet<FleetNode>()
  private readonly _acceptedVersions = new Set<string>()

  constructor (private readonly _fleet: Fleet) {
    this._accepted = new AcceptedDocuments({ table: _fleet.platform.plainTable, objects: _fleet.platform.plainObjects })
  }

  /** Watches the nodes that are not watched yet. */
  public watchAll (): void {
    for (const node of this._fleet.nodes) if (!this._watched.has(node)) this._watch(node)
  }

  /** Notes the answer of an acceptance. */
  public noteAccepted (service: string, version: number): void {
    const key = `${service} ${version}`
    if (this._acceptedVersions.has(key)) this.doubleVersions++
    this._acceptedVersions.add(key)
  }

  /** Newest accepted version of a service, 0 if there is none. */
  public async newest (service: string): Promise<{ readonly version: number, readonly isTombstone: boolean }> {
    return await this._accepted.readNewest(service as ServiceName) ?? { version: 0, isTombstone: false }
  }

  /** Whether every node has the newest accepted version of every service in force. */
  public async agrees (): Promise<boolean> {
    const { changes } = await this._accepted.readAll()
    return this._fleet.nodes.every((node) => changes.every((change) => node.versionInForce(change.service) === change.version))
  }

  /** Compares the written reports with all nodes that ever were; a node keeps its last versions after its end. */
  public async checkReports (): Promise<void> {
    for (const report of await this._readReports()) {
      const nodes = this._seen.filter((seen) => seen.failureDomain === report.failureDomain)
      for (const { service, versions } of report.services) {
        for (const { version } of versions) {
          const counted = versions.filter((each) => each.version >= version).reduce((sum, each) => sum + each.members, 0)
          const actual = nodes.filter((node) => (node.versions.get(service) ?? 0) >= version).length
          if (counted > actual) this.reportsAhead++
        }
      }
    }
  }

  /** Whether the reports show the newest version of every service in force on every member of every failure domain. */
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
    const seen = new Map<ServiceName, number>()
    this._seen.push({ failureDomain: node.options.failureDomain, versions: seen })
    for (const { service, version } of node.get(ISnapshotService).current.documents.values()) seen.set(service, version)
    node.get(ISnapshotService).onReplaced((snapshot) => {
      for (const { service, version } of snapshot.documents.values()) {
        if (version < (seen.get(service) ?? 0)) this.stepsBack++
        seen.set(service, version)
      }
    })
  }
}
