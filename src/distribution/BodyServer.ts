/** Answers pulls with bodies, as deltas where the puller's version is known here. */
import type { DocumentVersion, ContentHash, ServiceName } from '../common/Types.js'
import type { IVersionedText } from '../documents/Types.js'
import type { Body } from '../generated/savoryknot/Body.js'
import type { ReceivedPull } from '../generated/savoryknot/Pull.js'
import { encodeBody } from './BodyCodec.js'
import type { HeldDocuments } from './HeldDocuments.js'
import { encodeVersionEntry } from './VersionEntryCodec.js'

/** Bodies of one service kept for the next pullers. */
interface IEncoded {
  readonly version: DocumentVersion
  readonly base: number
  readonly content: Buffer
}

/** Options of `BodyServer`. */
export interface IBodyServerOptions {
  readonly held: HeldDocuments
  /** False to send whole bodies only. */
  readonly usesDeltas: boolean
  /** Encoded bodies kept, one a service. */
  readonly cachedBodies: number
}

/** Defaults of `BodyServer`. */
export const DEFAULT_BODY_SERVER_OPTIONS = Object.freeze({ usesDeltas: true, cachedBodies: 64 })

/** Compresses each body once for all neighbours that pull it against the same base. */
export class BodyServer {
  private readonly _options: IBodyServerOptions
  private readonly _encoded = new Map<ServiceName, IEncoded>()

  constructor (options: Pick<IBodyServerOptions, 'held'> & Partial<IBodyServerOptions>) {
    this._options = { ...DEFAULT_BODY_SERVER_OPTIONS, ...options }
  }

  /** The body that answers a pull; undefined if this node does not hold what is wanted. */
  public answer (pull: ReceivedPull): Body | undefined {
    const newest = this._options.held.newest(pull.service as ServiceName)
    if (newest === undefined || newest.version < pull.wantedVersion) return undefined
    const base = this._base(pull)
    const encoded = this._encode(newest, base)
    return { entry: encodeVersionEntry(newest), baseVersion: encoded.base, content: encoded.content }
  }

  private _base (pull: ReceivedPull): IVersionedText | undefined {
    if (!this._options.usesDeltas || pull.baseVersion === 0) return undefined
    const hash = pull.baseHash.toString('hex') as ContentHash
    const base = this._options.held.find(pull.service as ServiceName, pull.baseVersion as DocumentVersion, hash)
    return base === undefined || base.text.length === 0 ? undefined : base
  }

  private _encode (newest: IVersionedText, base: IVersionedText | undefined): IEncoded {
    const baseVersion = base?.version ?? 0
    const known = this._encoded.get(newest.service)
    if (known?.version === newest.version && known.base === baseVersion) return known
    const encoded = { version: newest.version, base: baseVersion, content: encodeBody(newest.text, base?.text) }
    this._remember(newest.service, encoded)
    return encoded
  }

  private _remember (service: ServiceName, encoded: IEncoded): void {
    this._encoded.delete(service)
    this._encoded.set(service, encoded)
    if (this._encoded.size <= this._options.cachedBodies) return
    const [oldest] = this._encoded.keys()
    if (oldest !== undefined) this._encoded.delete(oldest)
  }
}
