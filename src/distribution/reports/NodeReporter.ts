/** Creates the reports of this node: versions that came into force since the last report, and rejected versions. */
import type { IInvariantService } from '../../common/Services.js'
import type { DocumentVersion, NodeId, ServiceName } from '../../common/Types.js'
import type { ISnapshot } from '../../documents/Types.js'
import type { ISnapshotService } from '../Services.js'
import { VersionDigest, encodeDigest } from '../VersionDigest.js'
import type { INodeReport } from './Types.js'

/** Maximum length of a rejection reason in a report, in characters. */
const MAXIMUM_REASON_LENGTH = 300
/** Maximum number of rejections in one report. */
const MAXIMUM_REJECTIONS = 16

/** The reports are numbered, so that a collector detects a missed report. */
export class NodeReporter {
  private readonly _digest = new VersionDigest()
  private _digestSnapshot: ISnapshot | undefined
  private _reportedVersions: ReadonlyMap<ServiceName, DocumentVersion> = new Map()
  private _number = 0

  constructor (
    private readonly _self: NodeId,
    private readonly _snapshots: ISnapshotService,
    private readonly _invariants: IInvariantService
  ) {}

  /** Digest over all active versions. */
  public get digest (): Buffer {
    this._updateDigest()
    return encodeDigest(this._digest.value)
  }

  /** Active version of every service. */
  public get versions (): ReadonlyMap<ServiceName, DocumentVersion> {
    return versionsOf(this._snapshots.current)
  }

  /** Creates the next report: `whole` lists every version, `changes` the versions that changed since the last report, `digest` none. */
  public create (extent: 'whole' | 'changes' | 'digest'): INodeReport | undefined {
    const inForce = this.versions
    const versions = [...inForce].filter(([service, version]) => extent === 'whole' || this._reportedVersions.get(service) !== version)
    const listed = extent === 'digest' ? [] : versions
    if (!this._checkNotAhead(listed)) return undefined
    this._reportedVersions = inForce
    this._number++
    return {
      node: this._self,
      number: this._number,
      isWhole: extent === 'whole',
      versions: listed.map(([service, version]) => ({ service, version })),
      rejections: this._rejections(),
      digest: this.digest
    }
  }

  private _checkNotAhead (versions: ReadonlyArray<readonly [ServiceName, DocumentVersion]>): boolean {
    const { documents } = this._snapshots.current
    const isSatisfied = versions.every(([service, version]) => version <= (documents.get(service)?.version ?? 0))
    return this._invariants.check(isSatisfied, 'report-not-ahead', 'report.create')
  }

  private _rejections (): INodeReport['rejections'] {
    return this._snapshots.rejections.slice(0, MAXIMUM_REJECTIONS).map(({ entry, reason, isWaiting }) => ({
      service: entry.service,
      version: entry.version,
      reason: `${isWaiting ? 'waits: ' : ''}${reason}`.slice(0, MAXIMUM_REASON_LENGTH)
    }))
  }

  private _updateDigest (): void {
    const snapshot = this._snapshots.current
    if (this._digestSnapshot === snapshot) return
    for (const document of snapshot.documents.values()) {
      const previous = this._digestSnapshot?.documents.get(document.service)
      if (previous !== document) this._digest.replace(previous, document)
    }
    this._digestSnapshot = snapshot
  }
}

/** Versions of a snapshot by service, tombstones included. */
function versionsOf (snapshot: ISnapshot): ReadonlyMap<ServiceName, DocumentVersion> {
  return new Map(Array.from(snapshot.documents.values(), ({ service, version }) => [service, version]))
}
