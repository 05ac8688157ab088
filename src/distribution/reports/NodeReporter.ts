/** Makes the reports of this node: what has come into force since the last one, and what was rejected. */
import type { IInvariantService } from '../../common/Services.js'
import type { DocumentVersion, NodeId, ServiceName } from '../../common/Types.js'
import type { ISnapshot } from '../../documents/Types.js'
import type { ISnapshotService } from '../Services.js'
import { VersionDigest, encodeDigest } from '../VersionDigest.js'
import type { IInForceReport } from './Types.js'

/** Longest reason in a report, in characters. */
const REASON_LENGTH = 300
/** Rejections in one report. */
const REJECTIONS = 16

/** Numbers its reports, so that a collector notices that it missed one. */
export class NodeReporter {
  private readonly _digest = new VersionDigest()
  private _counted: ISnapshot | undefined
  private _reported: ReadonlyMap<ServiceName, DocumentVersion> = new Map()
  private _number = 0

  constructor (
    private readonly _self: NodeId,
    private readonly _snapshots: ISnapshotService,
    private readonly _invariants: IInvariantService
  ) {}

  /** Digest over what is in force. */
  public get digest (): Buffer {
    this._update()
    return encodeDigest(this._digest.value)
  }

  /** Versions in force. */
  public get versions (): ReadonlyMap<ServiceName, DocumentVersion> {
    return versionsOf(this._snapshots.current)
  }

  /** The next report; `whole` names every version, `changes` those since the last, `digest` none. */
  public create (extent: 'whole' | 'changes' | 'digest'): IInForceReport | undefined {
    const inForce = this.versions
    const versions = [...inForce].filter(([service, version]) => extent === 'whole' || this._reported.get(service) !== version)
    const named = extent === 'digest' ? [] : versions
    if (!this._isNotAhead(named)) return undefined
    this._reported = inForce
    this._number++
    return {
      node: this._self,
      number: this._number,
      isWhole: extent === 'whole',
      versions: named.map(([service, version]) => ({ service, version })),
      rejections: this._rejections(),
      digest: this.digest
    }
  }

  private _isNotAhead (versions: ReadonlyArray<readonly [ServiceName, DocumentVersion]>): boolean {
    const { documents } = this._snapshots.current
    const isHeld = versions.every(([service, version]) => version <= (documents.get(service)?.version ?? 0))
    return this._invariants.check(isHeld, 'report-not-ahead', 'report.create')
  }

  private _rejections (): IInForceReport['rejections'] {
    return this._snapshots.rejections.slice(0, REJECTIONS).map(({ entry, reason, isWaiting }) => ({
      service: entry.service,
      version: entry.version,
      reason: `${isWaiting ? 'waits: ' : ''}${reason}`.slice(0, REASON_LENGTH)
    }))
  }

  private _update (): void {
    const snapshot = this._snapshots.current
    if (this._counted === snapshot) return
    for (const document of snapshot.documents.values()) {
      const previous = this._counted?.documents.get(document.service)
      if (previous !== document) this._digest.replace(previous, document)
    }
    this._counted = snapshot
  }
}

/** Version in force of every service, tombstones included. */
function versionsOf (snapshot: ISnapshot): ReadonlyMap<ServiceName, DocumentVersion> {
  return new Map(Array.from(snapshot.documents.values(), ({ service, version }) => [service, version]))
}
