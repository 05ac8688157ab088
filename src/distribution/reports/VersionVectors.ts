/** Shares equal vectors of versions between nodes, so that the memory of a collector does not grow with the number of nodes. */
import type { DocumentVersion, ServiceName } from '../../common/Types.js'
import type { ReceivedReportedVersion } from '../../generated/savoryknot/ReportedVersion.js'

/** Active versions by service, shared by all nodes with the same versions. */
export interface IVersionVector {
  readonly id: number
  readonly versions: ReadonlyMap<ServiceName, DocumentVersion>
}

/** Maximum number of vectors that are kept for sharing, of each kind. */
const MAXIMUM_VECTORS = 64

/** Stores recent vectors of this node itself by digest, and vectors that were derived from another vector by the same changes. */
export class VersionVectors {
  private readonly _byDigest = new Map<string, IVersionVector>()
  private readonly _derived = new Map<string, IVersionVector>()
  private _lastId = 0

  /** Records the active versions on this node. */
  public recordOwn (digest: string, versions: ReadonlyMap<ServiceName, DocumentVersion>): void {
    if (!this._byDigest.has(digest)) addBounded(this._byDigest, digest, this._create(versions))
  }

  /** The recorded vector of this node with this digest. */
  public find (digest: string): IVersionVector | undefined {
    return this._byDigest.get(digest)
  }

  /** The vector that results from applying `changes` to `base`. */
  public derive (base: IVersionVector | undefined, changes: readonly ReceivedReportedVersion[]): IVersionVector {
    const key = `${base?.id ?? 0} ${changes.map((change) => `${change.service}=${change.version}`).join(' ')}`
    const existing = this._derived.get(key)
    if (existing !== undefined) return existing
    const versions = new Map(base?.versions ?? [])
    for (const change of changes) versions.set(change.service as ServiceName, change.version as DocumentVersion)
    const vector = this._create(versions)
    addBounded(this._derived, key, vector)
    return vector
  }

  private _create (versions: ReadonlyMap<ServiceName, DocumentVersion>): IVersionVector {
    this._lastId++
    return { id: this._lastId, versions }
  }
}

function addBounded (vectors: Map<string, IVersionVector>, key: string, vector: IVersionVector): void {
  vectors.set(key, vector)
  if (vectors.size <= MAXIMUM_VECTORS) return
  const [oldest] = vectors.keys()
  if (oldest !== undefined) vectors.delete(oldest)
}
