/** Links of a node to the sources whose view it follows, or will follow once they are current. */
import { Disposable } from '../../common/Disposable.js'
import { Emitter } from '../../common/Emitter.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { IDisposable, Milliseconds, Timestamp } from '../../common/Types.js'
import type { IPeerChannel, IPeerTransport } from '../../membership/Services.js'
import { VIEW_LINK_LOST, VIEW_LINK_OPENED } from '../Events.js'
import type { INodeIdentity } from '../Services.js'
import type { NodeName } from '../Types.js'
import type { IViewSource, ViewSourcePolicy } from './ViewSourcePolicy.js'
import { ViewLink, type ViewLinkCloseReason } from './ViewLink.js'
import type { ViewState } from './ViewState.js'

/** Time for which a followed source may be unusable. Without it, one late response of the store would make all followers change source. */
const UNUSABLE_GRACE_MS = 150 as Milliseconds

/** Dependencies of `ViewSources`. */
export interface IViewSourcesOptions {
  readonly self: INodeIdentity
  readonly state: ViewState
  readonly policy: ViewSourcePolicy
  readonly transport: IPeerTransport
  readonly clock: IClockService
  readonly log: ILogService
}

/** A link to a source and its state. */
interface ISourceLink {
  readonly source: IViewSource
  readonly link: ViewLink
  /** Number of nodes between the source and the store; undefined while its view cannot be followed. */
  hops: number | undefined
  /** Runs while a followed source has been unusable for less than `UNUSABLE_GRACE_MS`. */
  graceTimer: IDisposable | undefined
  /** Called on the first update, or when the link closes without one. */
  readonly onFirstResult: () => void
}

/** The source that is followed. */
export interface ICurrentSource {
  readonly source: IViewSource
  /** Name of the source; undefined if only its address is known. */
  readonly peer: NodeName | undefined
  /** Number of nodes between the source and the store. */
  readonly hops: number
}

/**
 * Follows at most one source. Links to higher-ranked nodes stay open while these nodes are not current: as soon as one is current,
 * all nodes that wait for it receive its view without searching for a source.
 */
export class ViewSources extends Disposable {
  private readonly _links = new Map<NodeName, ISourceLink>()
  private readonly _onCurrent = this.register(new Emitter<IViewSource>())
  /** Fires with each update of a source whose view can be followed. */
  public readonly onCurrent = this._onCurrent.event
  private readonly _onLost = this.register(new Emitter<string>())
  /** Fires with the reason when the view of a source can no longer be followed, or could not be followed from the start. */
  public readonly onLost = this._onLost.event

  constructor (private readonly _options: IViewSourcesOptions) {
    super()
  }

  /** The followed source; undefined if there is none. */
  public get current (): ICurrentSource | undefined {
    for (const { source, link, hops } of this._links.values()) {
      if (hops !== undefined) return { source, peer: link.peer, hops }
    }
    return undefined
  }

  /** The latest time at which the view of any source was known to be the newest. */
  public get confirmedAt (): Timestamp {
    return Math.max(0, ...[...this._links.values()].map(({ link }) => link.confirmedAt)) as Timestamp
  }

  /** Returns true if a link to the node is open. */
  public isLinked (name: NodeName): boolean {
    return this._links.has(name)
  }

  /** Opens a link to a source. Resolves after the first update, or when the link fails or closes. */
  public async open (source: IViewSource): Promise<void> {
    const { transport, clock, policy, log } = this._options
    try {
      const channel = await transport.dial(source.address)
      if (this.isDisposed) return channel.dispose()
      const link = this._createLink(source, channel)
      log.log(VIEW_LINK_OPENED, { step: 'view.follow', peer: source.name, isPreferred: source.isPreferred })
      await this._runUntilFirstResult(source, link)
    } catch (error) {
      policy.recordFailure(source, clock.now())
      log.log(VIEW_LINK_LOST, { step: 'view.dial', peer: source.name, reason: String(error) })
      this._onLost.fire('source is unreachable')
    }
  }

  /** Reports to the sources that are not followed whether this node reads the store itself. */
  public reportStoreReading (readsStore: boolean): void {
    for (const { link, hops } of this._links.values()) {
      if (hops === undefined) link.reportStoreReading(readsStore)
    }
  }

  /** Closes all links except the one to `kept`. */
  public releaseOthers (kept: IViewSource): void {
    this._releaseWhere((source) => source !== kept)
  }

  /** Closes the links to fallback sources, which do not rank above this node. */
  public releaseFallbacks (): void {
    this._releaseWhere((source) => !source.isPreferred)
  }

  /** Closes all links. */
  public override dispose (): void {
    super.dispose()
    this._releaseWhere(() => true)
  }

  private _releaseWhere (matches: (source: IViewSource) => boolean): void {
    for (const { source, link } of this._links.values()) {
      if (matches(source)) link.release()
    }
  }

  private _runUntilFirstResult (source: IViewSource, link: ViewLink): Promise<void> {
    return new Promise((resolve) => {
      const entry: ISourceLink = { source, link, hops: undefined, graceTimer: undefined, onFirstResult: resolve }
      this._links.set(source.name, entry)
      link.run().then((reason) => this._onClosed(entry, reason), (error: unknown) => this._onClosed(entry, String(error)))
    })
  }

  private _createLink (source: IViewSource, channel: IPeerChannel): ViewLink {
    const { state, self, clock, log } = this._options
    return new ViewLink({
      channel,
      state,
      self,
      peer: source.isAddressOnly === true ? undefined : source.name,
      isPersistent: source.isPreferred,
      clock,
      log,
      onCurrent: (hops) => this._ifLinked(source, (entry) => this._recordCurrent(entry, hops)),
      onUnusable: () => this._ifLinked(source, (entry) => this._recordUnusable(entry))
    })
  }

  private _ifLinked (source: IViewSource, action: (entry: ISourceLink) => void): void {
    const entry = this._links.get(source.name)
    if (entry !== undefined && !this.isDisposed) action(entry)
  }

  private _recordCurrent (entry: ISourceLink, hops: number): void {
    entry.graceTimer?.dispose()
    entry.graceTimer = undefined
    entry.hops = hops
    entry.onFirstResult()
    this._onCurrent.fire(entry.source)
  }

  private _recordUnusable (entry: ISourceLink): void {
    entry.onFirstResult()
    if (entry.hops === undefined) return this._onLost.fire('source is not current')
    entry.graceTimer ??= this._options.clock.after(UNUSABLE_GRACE_MS, () => {
      entry.graceTimer = undefined
      entry.hops = undefined
      this._onLost.fire('source is not current')
    })
  }

  private _onClosed (entry: ISourceLink, reason: ViewLinkCloseReason | string): void {
    const { policy, clock, log } = this._options
    const { source } = entry
    this._links.delete(source.name)
    entry.graceTimer?.dispose()
    entry.onFirstResult()
    if (reason === 'released') policy.recordSuccess(source)
    else policy.recordFailure(source, clock.now())
    if (this.isDisposed) return
    log.log(VIEW_LINK_LOST, { step: 'view.follow', peer: source.name, reason })
    this._onLost.fire(`link closed: ${reason}`)
  }
}
