/** Sends the view of this node to the nodes that requested it. */
import { Disposable, toDisposable } from '../../common/Disposable.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { IDisposable, Milliseconds, Timestamp } from '../../common/Types.js'
import type { ReceivedViewRequest } from '../../generated/savoryknot/ViewRequest.js'
import type { ViewUpdate } from '../../generated/savoryknot/ViewUpdate.js'
import type { IPeerChannel } from '../../membership/Services.js'
import type { StorePosition } from '../../platform/Types.js'
import { VIEW_CONFIGURATION_SENT } from '../Events.js'
import type { INodeIdentity } from '../Services.js'
import type { ConfigurationVersion, NodeName } from '../Types.js'
import type { ViewState } from './ViewState.js'
import { ConfigurationUpdateCache } from './ConfigurationUpdateCache.js'
import { encodeRows } from './ViewMessages.js'

/** Interval of updates while nothing changes. */
export const VIEW_HEARTBEAT_MS = 300 as Milliseconds

/** Interval of checks whether this node still has a current view; its followers are notified as soon as this changes. */
const CURRENCY_CHECK_MS = 50 as Milliseconds

/** Dependencies of `ViewServer`. */
export interface IViewServerOptions {
  readonly self: INodeIdentity
  readonly state: ViewState
  readonly isCurrent: () => boolean
  /** Number of nodes between this one and the store. */
  readonly hops: () => number
  /** Node that this one follows; undefined if it reads the store itself. */
  readonly source: () => NodeName | undefined
  /** The latest time at which the configuration of this node was known to be the newest. */
  readonly confirmedAt: () => Timestamp
  /** Called when a follower reports that it reads the store itself while this node has no current view. */
  readonly onOffer: (node: NodeName) => void
  readonly clock: IClockService
  readonly log: ILogService
}

/** State of a node that follows this one. */
interface IFollower {
  readonly channel: IPeerChannel
  /** Configuration version that the follower has once everything sent has arrived. */
  configurationVersion: ConfigurationVersion
  /** Position up to which rows of the node table were sent. */
  position: StorePosition
  /** Number of the last probe of the follower, and the time at which it arrived. */
  probe: number
  probeReceivedAt: Timestamp
}

/**
 * Sends each follower the changes that it has not received yet: at once after a change, and with a heartbeat. Without followers it has no
 * timers: almost all nodes of a large deployment have none, and the timers would be most of what an idle node does.
 */
export class ViewServer extends Disposable {
  private readonly _followers = new Set<IFollower>()
  private readonly _updateCache = new ConfigurationUpdateCache()
  private _wasCurrent = false
  private _timers: readonly IDisposable[] = []

  constructor (private readonly _options: IViewServerOptions) {
    super()
    const { state } = _options
    this.register(state.configuration.onReplaced(() => this._sendConfiguration()))
    this.register(state.nodes.onChanged(() => this.notify()))
    this.register(toDisposable(() => this._stopTimers()))
    this.register(toDisposable(() => { for (const { channel } of this._followers) channel.dispose() }))
  }

  /** Number of followers. */
  public get followers (): number {
    return this._followers.size
  }

  /** Accepts a channel that another node opened. */
  public accept (channel: IPeerChannel): IDisposable {
    let follower: IFollower | undefined
    channel.onClosed(() => { if (follower !== undefined) this._remove(follower) })
    return channel.onMessage((message) => {
      if (message.kind === 'ping' && message.ping != null && follower !== undefined) {
        follower.probe = message.ping.number
        follower.probeReceivedAt = this._options.clock.now()
      }
      if (message.kind !== 'viewRequest' || message.viewRequest == null) return
      const previous = follower
      follower = this._createFollower(channel, message.viewRequest, previous)
      this._followers.add(follower)
      if (previous !== undefined) this._followers.delete(previous)
      this._startTimers()
      this._handleOffer(message.viewRequest)
      this._send(follower)
    })
  }

  /** Sends an update to each follower. Returns the total bytes of the configurations sent. */
  public notify (): number {
    this._wasCurrent = this._options.isCurrent()
    let bytes = 0
    for (const follower of this._followers) bytes += this._send(follower)
    return bytes
  }

  private _remove (follower: IFollower): void {
    this._followers.delete(follower)
    if (this._followers.size === 0) this._stopTimers()
  }

  private _startTimers (): void {
    const { clock, isCurrent } = this._options
    if (this._timers.length > 0 || this.isDisposed) return
    this._wasCurrent = isCurrent()
    this._timers = [
      clock.every(VIEW_HEARTBEAT_MS, () => this.notify()),
      clock.every(CURRENCY_CHECK_MS, () => this._checkCurrency())
    ]
  }

  private _stopTimers (): void {
    for (const timer of this._timers) timer.dispose()
    this._timers = []
  }

  private _checkCurrency (): void {
    if (this._options.isCurrent() !== this._wasCurrent) this.notify()
  }

  private _handleOffer ({ node, readsStore }: ReceivedViewRequest): void {
    if (readsStore && !this._options.isCurrent()) this._options.onOffer(node as NodeName)
  }

  private _sendConfiguration (): void {
    const { clock, log, state } = this._options
    this._updateCache.setCurrent(state.configuration.version, state.configuration.text)
    if (this._followers.size === 0) return
    const startedAt = clock.now()
    const bytes = this.notify()
    const waiting = Math.max(...[...this._followers].map(({ channel }) => channel.waitingBytes))
    log.log(VIEW_CONFIGURATION_SENT, {
      step: 'view.send',
      version: state.configuration.version,
      followers: this._followers.size,
      bytes,
      waitingBytes: waiting,
      tookMs: clock.now() - startedAt
    })
  }

  /** `previous`: state of the same follower if it repeats its request; its last probe stays valid. */
  private _createFollower (channel: IPeerChannel, request: ReceivedViewRequest, previous: IFollower | undefined): IFollower {
    return {
      channel,
      configurationVersion: request.configurationVersion as ConfigurationVersion,
      position: request.nodesPosition as StorePosition,
      probe: previous?.probe ?? 0,
      probeReceivedAt: previous?.probeReceivedAt ?? this._options.clock.now()
    }
  }

  /** Sends an update. Returns the bytes of the configuration in it. */
  private _send (follower: IFollower): number {
    const { state, isCurrent, hops, source, self, confirmedAt, clock } = this._options
    const now = clock.now()
    const update: ViewUpdate = {
      node: self.name,
      isCurrent: isCurrent(),
      hops: hops(),
      source: source() ?? '',
      tellsAge: true,
      question: follower.probe,
      questionAgo: now - follower.probeReceivedAt,
      confirmedAgo: Math.max(0, now - confirmedAt()),
      nodesPosition: state.nodes.position,
      configurationPosition: state.configurationPosition,
      rows: encodeRows(state.nodes.changedAfter(follower.position)),
      ...this._updateCache.updateFieldsFor(follower.configurationVersion)
    }
    // A full send buffer drops the message; the next update then contains the same changes again.
    if (!follower.channel.send({ viewUpdate: update })) return 0
    follower.position = state.nodes.position
    follower.configurationVersion = Math.max(follower.configurationVersion, state.configuration.version) as ConfigurationVersion
    return update.configuration?.length ?? 0
  }
}
