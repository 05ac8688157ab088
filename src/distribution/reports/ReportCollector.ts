/** Keeps what each node of the failure domain last reported, and sums it up. */
import { isName } from '../../common/Ids.js'
import type { IInvariantService } from '../../common/Services.js'
import type { DocumentVersion, NodeId, ServiceName } from '../../common/Types.js'
import type { IServiceReport } from '../Services.js'
import type { IInForceReport } from './Types.js'
import { type IVersionVector, VersionVectors } from './VersionVectors.js'

/** Rejections kept of one node. */
const REJECTIONS_PER_NODE = 16

/** What one node reported. */
interface INodeState {
  readonly number: number
  /** Undefined until a whole report came. */
  readonly vector: IVersionVector | undefined
  readonly rejections: IInForceReport['rejections']
}

type VersionCounts = Map<ServiceName, Map<DocumentVersion, number>>

/** Counts a node only for versions that it reported itself. */
export class ReportCollector {
  private readonly _vectors = new VersionVectors()
  private readonly _nodes = new Map<NodeId, INodeState>()

  constructor (private readonly _invariants: IInvariantService) {}

  /** Nodes whose report cannot be read without a whole one. */
  public get lacking (): readonly NodeId[] {
    return [...this._nodes].filter(([, state]) => state.vector === undefined).map(([id]) => id)
  }

  /** Notes what is in force on the collector itself, which most other nodes share. */
  public noteOwn (digest: string, versions: ReadonlyMap<ServiceName, DocumentVersion>): void {
    this._vectors.noteOwn(digest, versions)
  }

  /** Takes a report; older ones than the last are ignored. Returns false if it is malformed. */
  public receive (report: IInForceReport): boolean {
    if (!isWellFormed(report)) return false
    const node = report.node as NodeId
    const known = this._nodes.get(node)
    if (known !== undefined && report.number <= known.number) return true
    const vector = this._vectorOf(report, known)
    const rejections = report.rejections.slice(0, REJECTIONS_PER_NODE)
    if (!this._isHigher(known?.vector, vector, node)) return false
    this._nodes.set(node, { number: report.number, vector, rejections })
    return true
  }

  /** Drops the state of nodes that are not members any more. */
  public retain (members: ReadonlySet<NodeId>): void {
    for (const node of this._nodes.keys()) if (!members.has(node)) this._nodes.delete(node)
  }

  /** Sums up, by service, the reports of all nodes. */
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

  private _vectorOf (report: IInForceReport, known: INodeState | undefined): IVersionVector | undefined {
    const same = this._vectors.find(report.digest.toString('hex'))
    if (same !== undefined) return same
    if (report.isWhole) return this._vectors.derive(undefined, report.versions)
    if (known?.vector === undefined || known.number + 1 !== report.number || report.versions.length === 0) return undefined
    return this._vectors.derive(known.vector, report.versions)
  }

  /** A node that reports a lower version than before would break an invariant; its report is refused. */
  private _isHigher (before: IVersionVector | undefined, after: IVersionVector | undefined, node: NodeId): boolean {
    if (before === undefined || after === undefined || before === after) return true
    for (const [service, version] of before.versions) {
      const isHeld = (after.versions.get(service) ?? 0) >= version
      if (!this._invariants.check(isHeld, 'version-never-lower', 'report.receive', node)) return false
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

function isWellFormed (report: IInForceReport): boolean {
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
