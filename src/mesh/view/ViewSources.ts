/** The links of a node to those whose view it follows, or would follow if they were current. */
import { Disposable } from '../../common/Disposable.js'
import { Emitter } from '../../common/Emitter.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { IDisposable, Milliseconds, Timestamp } from '../../common/Types.js'
import type { IPeerChannel, IPeerTransport } from '../../membership/Services.js'
import { VIEW_LINK_LOST, VIEW_LINK_OPENED } from '../Events.js'
import type { INodeIdentity } from '../Services.js'
import type { NodeName } from '../Types.js'
import type { IViewSource, ReadingPolicy } from './ReadingPolicy.js'
import { ViewLink, type ViewLinkEnd } from './ViewLink.js'
import type { ViewState } from './ViewState.js'

/** A source that is current again within this time is not left, or one late answer of the store would move everyone who follows. */
const STALE_GRACE_MS = 150 as Milliseconds

/** What the links need. */
export interface IViewSourcesOptions {
  readonly self: INodeIdentity
  readonly state: ViewState
  readonly policy: ReadingPolicy
  readonly transport: IPeerTransport
  readonly clock: IClockService
  readonly log: ILogService
}

/** One link. */
interface ISourceLink {
  readonly source: IViewSource
  readonly link: ViewLink
  /** Nodes between the source and the store; undefined while its view cannot be followed. */
  hops: number | undefined
  /** Runs while the source has been useless for less than `STALE_GRACE_MS`. */
  grace: IDisposable | undefined
  /** Called with the first update, or with the end if there was none. */
  readonly onJudged: () => void
}

/** A source that is followed at present. */
export interface ICurrentSource {
  readonly source: IViewSource
  /** Name of the other side, as far as it is known. */
  readonly peer: NodeName | undefined
  /** Nodes between the source and the store. */
  readonly hops: number
}

/**
 * At most one source is followed. Links to the nodes that rank above this one stay open while these are not current: as soon as
 * one is, everyone who waits for it has its view, without a search.
 */
export class ViewSources extends Disposable {
  private readonly _links = new Map<NodeName, ISourceLink>()
  private readonly _onCurrent = this.register(new Emitter<IViewSource>())
  /** Fires with each update of a source whose view can be followed. */
  public readonly onCurrent = this._onCurrent.event
  private readonly _onLost = this.register(new Emitter<string>())
  /** Fires with the reason when the view of a source can be followed no longer, or could not be from the first. */
  public readonly onLost = this._onLost.event

  constructor (private readonly _options: IViewSourcesOptions) {
    super()
  }

  /** The source that is followed; undefined if there is none. */
  public get current (): ICurrentSource | undefined {
    for (const { source, link, hops } of this._links.values()) {
      if (hops !== undefined) return { source, peer: link.peer, hops }
    }
    return undefined
  }

  /** The latest moment at which the view of a source was the newest. */
  public get confirmedAt (): Timestamp {
    return Math.max(0, ...[...this._links.values()].map(({ link }) => link.confirmedAt)) as Timestamp
  }

  /** True if there is a link to this node. */
  public isLinked (name: NodeName): boolean {
    return this._links.has(name)
  }

  /** Opens a link to a source. Resolves once it is known whether its view can be followed. */
  public async open (source: IViewSource): Promise<void> {
    const { transport, clock, policy, log } = this._options
    try {
      const channel = await transport.dial(source.address)
      if (this.isDisposed) return channel.dispose()
      const link = this._createLink(source, channel)
      log.log(VIEW_LINK_OPENED, { step: 'view.follow', peer: source.name, isPreferred: source.isPreferred })
      await this._runUntilJudged(source, link)
    } catch (error) {
      policy.recordFailure(source, clock.now())
      log.log(VIEW_LINK_LOST, { step: 'view.dial', peer: source.name, reason: String(error) })
      this._onLost.fire('a node above could not be reached')
    }
  }

  /** Tells the sources that are not followed whether this node reads the store itself. */
  public offer (readsStore: boolean): void {
    for (const { link, hops } of this._links.values()) {
      if (hops === undefined) link.offer(readsStore)
    }
  }

  /** Ends every link but that to one source. */
  public releaseOthers (kept: IViewSource): void {
    this._releaseWhere((source) => source !== kept)
  }

  /** Ends the links to sources that do not rank above this node. */
  public releaseSubstitutes (): void {
    this._releaseWhere((source) => !source.isPreferred)
  }

  /** Ends every link. */
  public override dispose (): void {
    super.dispose()
    this._releaseWhere(() => true)
  }

  private _releaseWhere (matches: (source: IViewSource) => boolean): void {
    for (const { source, link } of this._links.values()) {
      if (matches(source)) link.release()
    }
  }

  private _runUntilJudged (source: IViewSource, link: ViewLink): Promise<void> {
    return new Promise((resolve) => {
      const entry: ISourceLink = { source, link, hops: undefined, grace: undefined, onJudged: resolve }
      this._links.set(source.name, entry)
      link.run().then((end) => this._onEnded(entry, end), (error: unknown) => this._onEnded(entry, String(error)))
    })
  }

  private _createLink (source: IViewSource, channel: IPeerChannel): ViewLink {
    const { state, self, clock, log } = this._options
    return new ViewLink({
      channel,
      state,
      self,
      peer: source.isSuggested === true ? undefined : source.name,
      isStanding: source.isPreferred,
      clock,
      log,
      onCurrent: (hops) => this._withLink(source, (entry) => this._noteCurrent(entry, hops)),
      onStale: () => this._withLink(source, (entry) => this._noteStale(entry))
    })
  }

  private _withLink (source: IViewSource, action: (entry: ISourceLink) => void): void {
    const entry = this._links.get(source.name)
    if (entry !== undefined && !this.isDisposed) action(entry)
  }

  private _noteCurrent (entry: ISourceLink, hops: number): void {
    entry.grace?.dispose()
    entry.grace = undefined
    entry.hops = hops
    entry.onJudged()
    this._onCurrent.fire(entry.source)
  }

  private _noteStale (entry: ISourceLink): void {
    entry.onJudged()
    if (entry.hops === undefined) return this._onLost.fire('source is not current')
    entry.grace ??= this._options.clock.after(STALE_GRACE_MS, () => {
      entry.grace = undefined
      entry.hops = undefined
      this._onLost.fire('source is not current')
    })
  }

  private _onEnded (entry: ISourceLink, end: ViewLinkEnd | string): void {
    const { policy, clock, log } = this._options
    const { source } = entry
    this._links.delete(source.name)
    entry.grace?.dispose()
    entry.onJudged()
    if (end === 'released') policy.recordSuccess(source)
    else policy.recordFailure(source, clock.now())
    if (this.isDisposed) return
    log.log(VIEW_LINK_LOST, { step: 'view.follow', peer: source.name, reason: end })
    this._onLost.fire(`link ended: ${end}`)
  }
}
