/** Document texts that this node stores and sends to peers, whether they are active on this node or not. */
import { Emitter } from '../common/Emitter.js'
import { createServiceKey, type ILogService } from '../common/Services.js'
import type { ContentHash, DocumentVersion, IEvent, ServiceName } from '../common/Types.js'
import type { IVersionedText } from '../documents/Types.js'
import { SERVICE_LIMIT_REACHED, VERSION_CONFLICT } from './Events.js'
import { VersionDigest } from './VersionDigest.js'

/** Dependencies and limits of `HeldDocuments`. */
export interface IHeldDocumentsOptions {
  readonly log: ILogService
  /** Maximum number of services, tombstones included. */
  readonly maximumServices: number
  /** Number of versions of one service that are kept as bases of deltas in addition to the newest. */
  readonly earlierVersions: number
}

/** Defaults of `HeldDocuments`. */
export const DEFAULT_HELD_DOCUMENTS_OPTIONS = Object.freeze({ maximumServices: 4_096, earlierVersions: 1 })

/** Stores the newest text of each service, and a few earlier texts as bases of deltas. */
export class HeldDocuments {
  private readonly _options: IHeldDocumentsOptions
  private readonly _newest = new Map<ServiceName, IVersionedText>()
  private readonly _earlier = new Map<ServiceName, readonly IVersionedText[]>()
  private readonly _digest = new VersionDigest()
  private readonly _onAdded = new Emitter<readonly IVersionedText[]>()

  constructor (options: Pick<IHeldDocumentsOptions, 'log'> & Partial<IHeldDocumentsOptions>) {
    this._options = { ...DEFAULT_HELD_DOCUMENTS_OPTIONS, ...options }
  }

  /** Fires with the versions that were added; see `notifyAdded`. */
  public get onAdded (): IEvent<readonly IVersionedText[]> {
    return this._onAdded.event
  }

  /** Digest over the newest version of every service. */
  public get digest (): bigint {
    return this._digest.value
  }

  /** The newest version of every service. */
  public get all (): Iterable<IVersionedText> {
    return this._newest.values()
  }

  public get size (): number {
    return this._newest.size
  }

  /** The newest version of a service. */
  public newest (service: ServiceName): IVersionedText | undefined {
    return this._newest.get(service)
  }

  /** Number of the newest version of a service; 0 if the service is unknown. */
  public newestVersion (service: ServiceName): number {
    return this._newest.get(service)?.version ?? 0
  }

  /** A stored version with this number and hash, as the base of a delta. */
  public find (service: ServiceName, version: DocumentVersion, hash: ContentHash): IVersionedText | undefined {
    const candidates = [this._newest.get(service), ...this._earlier.get(service) ?? []]
    return candidates.find((candidate) => candidate?.version === version && candidate.hash === hash)
  }

  /** Adds the versions that are newer than the stored ones, and returns them. */
  public add (versions: readonly IVersionedText[]): readonly IVersionedText[] {
    return versions.filter((version) => this._addOne(version))
  }

  /** Notifies the listeners of `onAdded`. */
  public notifyAdded (added: readonly IVersionedText[]): void {
    this._onAdded.fire(added)
  }

  private _addOne (version: IVersionedText): boolean {
    const current = this._newest.get(version.service)
    if (current === undefined) return this._addService(version)
    if (version.version < current.version) return false
    if (version.version === current.version) return this._refuseSameVersion(current, version)
    this._keepAsDeltaBase(current)
    this._replace(current, version)
    return true
  }

  private _addService (version: IVersionedText): boolean {
    if (this._newest.size >= this._options.maximumServices) {
      this._options.log.log(SERVICE_LIMIT_REACHED, { step: 'held.add', service: version.service })
      return false
    }
    this._replace(undefined, version)
    return true
  }

  private _refuseSameVersion (current: IVersionedText, version: IVersionedText): false {
    if (current.hash === version.hash) return false
    this._options.log.log(VERSION_CONFLICT, { step: 'held.add', service: version.service, version: version.version, kept: current.hash, refused: version.hash })
    return false
  }

  private _replace (current: IVersionedText | undefined, version: IVersionedText): void {
    this._newest.set(version.service, version)
    this._digest.replace(current, version)
  }

  private _keepAsDeltaBase (version: IVersionedText): void {
    const earlier = [version, ...this._earlier.get(version.service) ?? []]
    this._earlier.set(version.service, earlier.slice(0, this._options.earlierVersions))
  }
}

export const IHeldDocuments = createServiceKey<HeldDocuments>('distribution.held')
