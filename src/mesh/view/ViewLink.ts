/** Follows the view of another node. */
import type { IClockService, ILogService } from '../../common/Services.js'
import type { IDisposable, Milliseconds, Timestamp } from '../../common/Types.js'
import type { ReceivedViewUpdate } from '../../generated/savoryknot/ViewUpdate.js'
import type { IPeerChannel } from '../../membership/Services.js'
import type { StorePosition } from '../../platform/Types.js'
import { VIEW_BODY_REJECTED } from '../Events.js'
import type { INodeIdentity } from '../Services.js'
import type { ConfigurationVersion, NodeName } from '../Types.js'
import { TransitTimeEstimator } from './TransitTimeEstimator.js'
import { decodeConfiguration, decodeRows } from './ViewMessages.js'
import type { ViewState } from './ViewState.js'

/** Maximum transit time of a message; a longer one means that the view is outdated although messages arrive. */
const MAXIMUM_TRANSIT_TIME_MS = 800
/** A link without a message for this time is closed; three heartbeat intervals. */
export const VIEW_LINK_TIMEOUT_MS = 900 as Milliseconds

/** Maximum number of nodes between the source and the store; each further node would only make the view older. */
const MAXIMUM_HOPS = 1
const NO_VERSION = 0 as ConfigurationVersion

/** Reason for which a link was closed. */
export type ViewLinkCloseReason = 'closed' | 'silent' | 'not-current' | 'too-far' | 'outdated' | 'other-node' | 'unreadable' | 'released'

/** Dependencies and options of `ViewLink`. */
export interface IViewLinkOptions {
  readonly channel: IPeerChannel
  readonly state: ViewState
  readonly self: INodeIdentity
  /** Expected name of the source; undefined if only its address is known. */
  readonly peer: NodeName | undefined
  /** True to keep the link open while the source has no current view. Such a link also stays open while this node reads the store. */
  readonly isPersistent: boolean
  readonly clock: IClockService
  readonly log: ILogService
  /** Called after each current update was applied, with the number of nodes between the source and the store. */
  readonly onCurrent: (hops: number) => void
  /** Called on a persistent link for each update whose view cannot be followed. */
  readonly onUnusable: () => void
}

/**
 * Requests the view of the source and applies each update. Closes when the source is unresponsive or its messages are outdated.
 * If the source is not current, or too many nodes away from the store, the link closes as well unless it is persistent.
 */
export class ViewLink {
  private _timeout: IDisposable | undefined
  private _confirmedAt = 0 as Timestamp
  private readonly _transitTimeEstimator: TransitTimeEstimator
  private _readsStore = false
  private _resolveClosed: ((reason: ViewLinkCloseReason) => void) | undefined
  private _isClosed = false

  constructor (private readonly _options: IViewLinkOptions) {
    this._transitTimeEstimator = new TransitTimeEstimator(_options.clock.now())
  }

  /** The latest time at which the view of the source was known to be the newest. */
  public get confirmedAt (): Timestamp {
    return this._confirmedAt
  }

  /** Name of the source; undefined if only its address is known. */
  public get peer (): NodeName | undefined {
    return this._options.peer
  }

  /** Resolves with the reason after the link and its channel were closed. */
  public async run (): Promise<ViewLinkCloseReason> {
    const { channel } = this._options
    const closed = new Promise<ViewLinkCloseReason>((resolve) => { this._resolveClosed = resolve })
    const listeners = [
      channel.onClosed(() => this._close('closed')),
      channel.onMessage((message) => {
        if (message.kind === 'viewUpdate' && message.viewUpdate != null) this._receive(message.viewUpdate)
      })
    ]
    this._sendRequest(this._options.state.configuration.version)
    this._restartTimeout()
    const reason = await closed
    for (const listener of listeners) listener.dispose()
    this._timeout?.dispose()
    channel.dispose()
    return reason
  }

  /** Reports to the source whether this node reads the store itself, if this has changed since the last report. */
  public reportStoreReading (readsStore: boolean): void {
    if (this._isClosed || readsStore === this._readsStore) return
    this._readsStore = readsStore
    this._sendRequest(this._options.state.configuration.version)
  }

  /** Closes the link because it is no longer needed. */
  public release (): void {
    this._close('released')
  }

  /** `baseVersion`: version that the source may use as the base of a delta; 0 for none. */
  private _sendRequest (baseVersion: ConfigurationVersion): void {
    const { channel, state, self } = this._options
    channel.send({
      viewRequest: { node: self.name, configurationVersion: baseVersion, nodesPosition: state.nodes.position, readsStore: this._readsStore }
    })
  }

  private _receive (update: ReceivedViewUpdate): void {
    if (this._isClosed) return
    const { clock, peer, self } = this._options
    const now = clock.now()
    // The address of a stopped node may have been assigned to another node, or to this one.
    if (update.node === self.name || (peer !== undefined && update.node !== peer)) return this._close('other-node')
    if (!hasValidPositions(update)) return this._close('unreadable')
    this._restartTimeout()
    if (!this._applyConfiguration(update, now)) return
    this._options.state.nodes.apply(decodeRows(update), now)
    if (!update.isCurrent) return this._handleUnusableView('not-current')
    if (update.hops > MAXIMUM_HOPS || update.source === self.name) return this._handleUnusableView('too-far')
    if (this._transitTimeOf(update, now) > MAXIMUM_TRANSIT_TIME_MS) return this._close('outdated')
    this._options.onCurrent(update.hops)
  }

  private _handleUnusableView (reason: ViewLinkCloseReason): void {
    if (this._options.isPersistent) this._options.onUnusable()
    else this._close(reason)
  }

  /** Estimated transit time of an update; 0 for nodes with older software, which do not send the data for it. */
  private _transitTimeOf (update: ReceivedViewUpdate, now: Timestamp): number {
    const { question, questionAgo, confirmedAgo, tellsAge } = update
    const sentAt = tellsAge ? this._transitTimeEstimator.earliestSentAt({ question, questionAgo: questionAgo as Milliseconds }, now) : now
    this._confirmedAt = Math.max(this._confirmedAt, sentAt - confirmedAgo) as Timestamp
    const probeNumber = this._transitTimeEstimator.nextProbeNumber(now)
    if (probeNumber !== undefined) this._options.channel.send({ ping: { number: probeNumber } })
    return now - sentAt
  }

  /** Returns false if the configuration could not be restored; it has then been requested again, or the link was closed. */
  private _applyConfiguration (update: ReceivedViewUpdate, now: Timestamp): boolean {
    const { state, channel, log } = this._options
    try {
      const text = decodeConfiguration(update, state.configuration, channel.remoteAddress)
      if (text !== undefined) state.configuration.applyIfNewer(text, update.node, now)
      if (update.isCurrent) state.advanceConfigurationPosition(update.configurationPosition as StorePosition)
      return true
    } catch (error) {
      log.log(VIEW_BODY_REJECTED, { step: 'view.apply', peer: channel.remoteAddress, version: update.configurationVersion, reason: String(error) })
      this._requestAgain(update.configurationBase as ConfigurationVersion)
      return false
    }
  }

  /** After a delta that cannot be applied, requests another delta, then the complete text. Closes the link if that is unreadable too. */
  private _requestAgain (base: ConfigurationVersion): void {
    const { version } = this._options.state.configuration
    if (base === NO_VERSION) this._close('unreadable')
    else this._sendRequest(base === version ? NO_VERSION : version)
  }

  private _restartTimeout (): void {
    this._timeout?.dispose()
    this._timeout = this._options.clock.after(VIEW_LINK_TIMEOUT_MS, () => this._close('silent'))
  }

  private _close (reason: ViewLinkCloseReason): void {
    if (this._isClosed) return
    this._isClosed = true
    this._resolveClosed?.(reason)
  }
}

/** A position that is no exact integer could never be followed by a later one. */
function hasValidPositions ({ nodesPosition, configurationPosition, rows }: ReceivedViewUpdate): boolean {
  return [nodesPosition, configurationPosition, ...rows.map(({ position }) => position)].every(Number.isSafeInteger)
}
