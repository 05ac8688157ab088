/** Shares vectors of versions in force between all nodes that hold the same, so that a collector's memory does not grow with the fleet. */
import type { DocumentVersion, ServiceName } from '../../common/Types.js'
import type { ReceivedReportedVersion } from '../../generated/savoryknot/ReportedVersion.js'

/** Versions in force on one or more nodes. */
export interface IVersionVector {
  readonly id: number
  readonly versions: ReadonlyMap<ServiceName, DocumentVersion>
}

/** Vectors kept for sharing. */
const KEPT_VECTORS = 64

/** Knows the vectors that this node itself had lately, by digest, and those that follow from others by the same changes. */
export class VersionVectors {
  private readonly _byDigest = new Map<string, IVersionVector>()
  private readonly _derived = new Map<string, IVersionVector>()
  private _lastId = 0

  /** Notes what is in force on this node. */
  public noteOwn (digest: string, versions: ReadonlyMap<ServiceName, DocumentVersion>): void {
    if (!this._byDigest.has(digest)) remember(this._byDigest, digest, this._create(versions))
  }

  /** The vector with that digest, if this node had it. */
  public find (digest: string): IVersionVector | undefined {
    return this._byDigest.get(digest)
  }

  /** The vector that follows from `base` by `changes`. */
  public derive (base: IVersionVector | undefined, changes: readonly ReceivedReportedVersion[]): IVersionVector {
    const key = `${base?.id ?? 0} ${changes.map((change) => `${change.service}=${change.version}`).join(' ')}`
    const known = this._derived.get(key)
    if (known !== undefined) return known
    const versions = new Map(base?.versions ?? [])
    for (const change of changes) versions.set(change.service as ServiceName, change.version as DocumentVersion)
    const vector = this._create(versions)
    remember(this._derived, key, vector)
    return vector
  }

  private _create (versions: ReadonlyMap<ServiceName, DocumentVersion>): IVersionVector {
    this._lastId++
    return { id: this._lastId, versions }
  }
}

function remember (vectors: Map<string, IVersionVector>, key: string, vector: IVersionVector): void {
  vectors.set(key, vector)
  if (vectors.size <= KEPT_VECTORS) return
  const [oldest] = vectors.keys()
  if (oldest !== undefined) vectors.delete(oldest)
}
