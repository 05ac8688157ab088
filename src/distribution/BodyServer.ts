/** Creates the bodies that are sent in reply to pulls, as deltas if this node has the version that the requesting peer has. */
import type { DocumentVersion, ContentHash, ServiceName } from '../common/Types.js'
import type { IVersionedText } from '../documents/Types.js'
import type { Body } from '../generated/savoryknot/Body.js'
import type { ReceivedPull } from '../generated/savoryknot/Pull.js'
import { encodeBody } from './BodyCodec.js'
import type { HeldDocuments } from './HeldDocuments.js'
import { encodeVersionEntry } from './VersionEntryCodec.js'

/** Encoded body of one service, cached for further pulls against the same base. */
interface ICachedBody {
  readonly version: DocumentVersion
  readonly base: number
  readonly content: Buffer
}

/** Dependencies and limits of `BodyServer`. */
export interface IBodyServerOptions {
  readonly held: HeldDocuments
  /** False to send complete bodies only, never deltas. */
  readonly usesDeltas: boolean
  /** Maximum number of cached bodies, one per service. */
  readonly cachedBodies: number
}

/** Defaults of `BodyServer`. */
export const DEFAULT_BODY_SERVER_OPTIONS = Object.freeze({ usesDeltas: true, cachedBodies: 64 })

/** Compresses a body once for consecutive pulls against the same base; a service has one cached body. */
export class BodyServer {
  private readonly _options: IBodyServerOptions
  private readonly _cache = new Map<ServiceName, ICachedBody>()

  constructor (options: Pick<IBodyServerOptions, 'held'> & Partial<IBodyServerOptions>) {
    this._options = { ...DEFAULT_BODY_SERVER_OPTIONS, ...options }
  }

  /** Creates the body for a pull; undefined if this node does not have the wanted version or a newer one. */
  public createBody (pull: ReceivedPull): Body | undefined {
    const newest = this._options.held.newest(pull.service as ServiceName)
    if (newest === undefined || newest.version < pull.wantedVersion) return undefined
    const base = this._findBase(pull)
    const encoded = this._encode(newest, base)
    return { entry: encodeVersionEntry(newest), baseVersion: encoded.base, content: encoded.content }
  }

  private _findBase (pull: ReceivedPull): IVersionedText | undefined {
    if (!this._options.usesDeltas || pull.baseVersion === 0) return undefined
    const hash = pull.baseHash.toString('hex') as ContentHash
    const base = this._options.held.find(pull.service as ServiceName, pull.baseVersion as DocumentVersion, hash)
    return base === undefined || base.text.length === 0 ? undefined : base
  }

  private _encode (newest: IVersionedText, base: IVersionedText | undefined): ICachedBody {
    const baseVersion = base?.version ?? 0
    const cached = this._cache.get(newest.service)
    if (cached?.version === newest.version && cached.base === baseVersion) return cached
    const encoded = { version: newest.version, base: baseVersion, content: encodeBody(newest.text, base?.text) }
    this._cacheBody(newest.service, encoded)
    return encoded
  }

  private _cacheBody (service: ServiceName, encoded: ICachedBody): void {
    this._cache.delete(service)
    this._cache.set(service, encoded)
    if (this._cache.size <= this._options.cachedBodies) return
    const [oldest] = this._cache.keys()
    if (oldest !== undefined) this._cache.delete(oldest)
  }
}
