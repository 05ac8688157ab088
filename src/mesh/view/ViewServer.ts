/** Sends this node's view to the nodes that asked for it. */
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
import { ConfigurationBodies } from './ConfigurationBodies.js'
import { encodeRows } from './ViewMessages.js'

/** Time between two updates when nothing changes. */
export const VIEW_HEARTBEAT_MS = 300 as Milliseconds

/** Time between two looks at whether this node still has a current view, which followers are told at once. */
const CURRENCY_CHECK_MS = 50 as Milliseconds

/** What the server needs. */
export interface IViewServerOptions {
  readonly self: INodeIdentity
  readonly state: ViewState
  readonly isCurrent: () => boolean
  /** Nodes between this one and the store. */
  readonly hops: () => number
  /** Node that this one follows; undefined if it reads the store itself. */
  readonly source: () => NodeName | undefined
  /** The latest moment at which the configuration of this node was the newest. */
  readonly confirmedAt: () => Timestamp
  /** Called when a follower reads the store itself while this node has no current view. */
  readonly onOffer: (node: NodeName) => void
  readonly clock: IClockService
  readonly log: ILogService
}

/** One node that follows. */
interface IFollower {
  readonly channel: IPeerChannel
  /** Version that the follower holds once everything sent has arrived. */
  held: ConfigurationVersion
  position: StorePosition
  /** Number of the last question of the follower, and when it came. */
  question: number
  questionAt: Timestamp
}

/** Each follower gets what it lacks, changes at once, and heartbeats in between. */
export class ViewServer extends Disposable {
  private readonly _followers = new Set<IFollower>()
  private readonly _bodies = new ConfigurationBodies()
  private _wasCurrent = false

  constructor (private readonly _options: IViewServerOptions) {
    super()
    const { state, clock } = _options
    this.register(state.configuration.onReplaced(() => this._sendConfiguration()))
    this.register(state.nodes.onChanged(() => this.notify()))
    this.register(toDisposable(() => { for (const { channel } of this._followers) channel.dispose() }))
    this.register(clock.every(VIEW_HEARTBEAT_MS, () => this.notify()))
    this.register(clock.every(CURRENCY_CHECK_MS, () => this._checkCurrency()))
  }

  /** Number of nodes that follow. */
  public get followers (): number {
    return this._followers.size
  }

  /** Takes a channel that another node opened. */
  public accept (channel: IPeerChannel): IDisposable {
    let follower: IFollower | undefined
    channel.onClosed(() => { if (follower !== undefined) this._followers.delete(follower) })
    return channel.onMessage((message) => {
      if (message.kind === 'ping' && message.ping != null && follower !== undefined) {
        follower.question = message.ping.number
        follower.questionAt = this._options.clock.now()
      }
      if (message.kind !== 'viewRequest' || message.viewRequest == null) return
      if (follower !== undefined) this._followers.delete(follower)
      follower = this._followerOf(channel, message.viewRequest, follower)
      this._followers.add(follower)
      this._noteOffer(message.viewRequest)
      this._send(follower)
    })
  }

  /** Sends every follower what it lacks. Returns the bytes of configurations in it. */
  public notify (): number {
    this._wasCurrent = this._options.isCurrent()
    let bytes = 0
    for (const follower of this._followers) bytes += this._send(follower)
    return bytes
  }

  private _checkCurrency (): void {
    if (this._options.isCurrent() !== this._wasCurrent) this.notify()
  }

  private _noteOffer ({ node, readsStore }: ReceivedViewRequest): void {
    if (readsStore && !this._options.isCurrent()) this._options.onOffer(node as NodeName)
  }

  private _sendConfiguration (): void {
    const { clock, log, state } = this._options
    this._bodies.replace(state.configuration.version, state.configuration.text)
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

  /** `earlier`: the same follower, if it asks once more; its last question holds on. */
  private _followerOf (channel: IPeerChannel, request: ReceivedViewRequest, earlier: IFollower | undefined): IFollower {
    return {
      channel,
      held: request.configurationVersion as ConfigurationVersion,
      position: request.nodesPosition as StorePosition,
      question: earlier?.question ?? 0,
      questionAt: earlier?.questionAt ?? this._options.clock.now()
    }
  }

  /** Returns the bytes of the configuration that was sent. */
  private _send (follower: IFollower): number {
    const { state, isCurrent, hops, source, self, confirmedAt, clock } = this._options
    const now = clock.now()
    const update: ViewUpdate = {
      node: self.name,
      isCurrent: isCurrent(),
      hops: hops(),
      source: source() ?? '',
      tellsAge: true,
      question: follower.question,
      questionAgo: now - follower.questionAt,
      confirmedAgo: Math.max(0, now - confirmedAt()),
      nodesPosition: state.nodes.position,
      configurationPosition: state.configurationPosition,
      rows: encodeRows(state.nodes.changedAfter(follower.position)),
      ...this._bodies.bodyFor(follower.held)
    }
    // A full send buffer drops the message; the next one then carries the same again.
    if (!follower.channel.send({ viewUpdate: update })) return 0
    follower.position = state.nodes.position
    follower.held = Math.max(follower.held, state.configuration.version) as ConfigurationVersion
    return update.configuration?.length ?? 0
  }
}
