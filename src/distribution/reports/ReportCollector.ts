/** Stores the last report of each node of the failure domain and summarizes them. */
import { isName } from '../../common/Ids.js'
import type { IInvariantService } from '../../common/Services.js'
import type { DocumentVersion, NodeId, ServiceName } from '../../common/Types.js'
import type { IServiceReport } from '../Services.js'
import type { INodeReport } from './Types.js'
import { type IVersionVector, VersionVectors } from './VersionVectors.js'

/** Maximum number of stored rejections of one node. */
const MAXIMUM_REJECTIONS_PER_NODE = 16

/** State of one node by its reports. */
interface INodeState {
  readonly number: number
  /** Undefined while the versions of the node are unknown, for example after a missed report. */
  readonly vector: IVersionVector | undefined
  readonly rejections: INodeReport['rejections']
}

type VersionCounts = Map<ServiceName, Map<DocumentVersion, number>>

/** A node is counted only for versions that it has reported itself. */
export class ReportCollector {
  private readonly _vectors = new VersionVectors()
  private readonly _nodes = new Map<NodeId, INodeState>()

  constructor (private readonly _invariants: IInvariantService) {}

  /** Nodes whose versions are unknown until they send a complete report. */
  public get nodesWithoutVector (): readonly NodeId[] {
    return [...this._nodes].filter(([, state]) => state.vector === undefined).map(([id]) => id)
  }

  /** Records the active versions on the collector itself, which are the same on most other nodes. */
  public recordOwn (digest: string, versions: ReadonlyMap<ServiceName, DocumentVersion>): void {
    this._vectors.recordOwn(digest, versions)
  }

  /**
   * Handles a report; a report older than the last one is ignored. Returns false if the report is malformed or lists a lower version
   * than before.
   */
  public receive (report: INodeReport): boolean {
    if (!isWellFormed(report)) return false
    const node = report.node as NodeId
    const previous = this._nodes.get(node)
    if (previous !== undefined && report.number <= previous.number) return true
    const vector = this._vectorOf(report, previous)
    const rejections = report.rejections.slice(0, MAXIMUM_REJECTIONS_PER_NODE)
    if (!this._checkNotLower(previous?.vector, vector, node)) return false
    this._nodes.set(node, { number: report.number, vector, rejections })
    return true
  }

  /** Removes the state of nodes that are no longer members. */
  public retain (members: ReadonlySet<NodeId>): void {
    for (const node of this._nodes.keys()) if (!members.has(node)) this._nodes.delete(node)
  }

  /** Summarizes the reports of all nodes by service. */
  public summarize (): readonly IServiceReport[] {
    const counts = this._count()
    const rejections = this._rejectionsByService()
    const services = new Set([...counts.keys(), ...rejections.keys()])
    return Array.from(services, (service) => ({
      service,
      versions: describeCounts(counts.get(service) ?? new Map()),
      rejections: rejections.get(service) ?? []
    }))
  }

  private _vectorOf (report: INodeReport, previous: INodeState | undefined): IVersionVector | undefined {
    const same = this._vectors.find(report.digest.toString('hex'))
    if (same !== undefined) return same
    if (report.isWhole) return this._vectors.derive(undefined, report.versions)
    if (previous?.vector === undefined || previous.number + 1 !== report.number || report.versions.length === 0) return undefined
    return this._vectors.derive(previous.vector, report.versions)
  }

  /** Returns false if a node reports a lower version than before; this breaks an invariant, and the report is refused. */
  private _checkNotLower (before: IVersionVector | undefined, after: IVersionVector | undefined, node: NodeId): boolean {
    if (before === undefined || after === undefined || before === after) return true
    for (const [service, version] of before.versions) {
      const isSatisfied = (after.versions.get(service) ?? 0) >= version
      if (!this._invariants.check(isSatisfied, 'version-never-lower', 'report.receive', node)) return false
    }
    return true
  }

  /** Nodes with the same vector are counted together. */
  private _count (): VersionCounts {
    const groups = new Map<IVersionVector, number>()
    for (const { vector } of this._nodes.values()) {
      if (vector !== undefined) groups.set(vector, (groups.get(vector) ?? 0) + 1)
    }
    const counts: VersionCounts = new Map()
    for (const [{ versions }, nodes] of groups) {
      for (const [service, version] of versions) addCount(counts, service, version, nodes)
    }
    return counts
  }

  private _rejectionsByService (): Map<ServiceName, Array<IServiceReport['rejections'][number]>> {
    const byService = new Map<ServiceName, Array<IServiceReport['rejections'][number]>>()
    for (const [node, { rejections }] of this._nodes) {
      for (const { service, version, reason } of rejections) {
        const list = byService.get(service as ServiceName) ?? []
        list.push({ node, version: version as DocumentVersion, reason })
        byService.set(service as ServiceName, list)
      }
    }
    return byService
  }
}

function isWellFormed (report: INodeReport): boolean {
  const entries = [...report.versions, ...report.rejections]
  return report.node.length > 0 && entries.every(({ service, version }) => isName(service) && Number.isSafeInteger(version) && version > 0)
}

function addCount (counts: VersionCounts, service: ServiceName, version: DocumentVersion, nodes: number): void {
  const versions = counts.get(service) ?? new Map<DocumentVersion, number>()
  versions.set(version, (versions.get(version) ?? 0) + nodes)
  counts.set(service, versions)
}

function describeCounts (versions: ReadonlyMap<DocumentVersion, number>): IServiceReport['versions'] {
  const list = Array.from(versions, ([version, members]) => ({ version, members }))
  return list.sort((left, right) => right.version - left.version)
}
