/** Takes the view of another node. */
import type { IClockService, ILogService } from '../../common/Services.js'
import type { IDisposable, Milliseconds, Timestamp } from '../../common/Types.js'
import type { ReceivedViewUpdate } from '../../generated/savoryknot/ViewUpdate.js'
import type { IPeerChannel } from '../../membership/Services.js'
import type { StorePosition } from '../../platform/Types.js'
import { VIEW_BODY_REJECTED } from '../Events.js'
import type { INodeIdentity } from '../Services.js'
import type { ConfigurationVersion, NodeName } from '../Types.js'
import { MessageLag } from './MessageLag.js'
import { decodeConfiguration, decodeRows } from './ViewMessages.js'
import type { ViewState } from './ViewState.js'

/** A message that was under way longer than this shows that the view comes late, though messages come. */
const MAXIMUM_LAG_MS = 800
/** A link without a message for this time is lost; three heartbeats. */
export const VIEW_SILENCE_MS = 900 as Milliseconds

/** Most nodes that may stand between the other side and the store; more would only add to its age. */
const MAXIMUM_HOPS = 1
const NO_VERSION = 0 as ConfigurationVersion

/** How a link ended. */
export type ViewLinkEnd = 'closed' | 'silent' | 'not-current' | 'too-far' | 'outdated' | 'other-node' | 'unreadable' | 'released'

/** What a link needs. */
export interface IViewLinkOptions {
  readonly channel: IPeerChannel
  readonly state: ViewState
  readonly self: INodeIdentity
  /** Name that the other side must have; undefined if only its address is known. */
  readonly peer: NodeName | undefined
  /** True to stay with a source that has no current view, until it has one again; such a link goes on while the store is read. */
  readonly isStanding: boolean
  readonly clock: IClockService
  readonly log: ILogService
  /** Called with each update that is current, after it was applied, and with the hops of the other side. */
  readonly onCurrent: (hops: number) => void
  /** Called with each update of a standing link whose view cannot be followed. */
  readonly onStale: () => void
}

/**
 * One task: asks once, applies every update, ends when the other side is silent or its messages come late. If it is not
 * current, or too far from the store, the link ends as well, unless it is a standing one.
 */
export class ViewLink {
  private _silence: IDisposable | undefined
  private _confirmedAt = 0 as Timestamp
  private readonly _lag: MessageLag
  private _readsStore = false
  private _end: ((end: ViewLinkEnd) => void) | undefined
  private _isOver = false

  constructor (private readonly _options: IViewLinkOptions) {
    this._lag = new MessageLag(_options.clock.now())
  }

  /** The latest moment at which the view of the other side was the newest. */
  public get confirmedAt (): Timestamp {
    return this._confirmedAt
  }

  /** Name of the other side, as far as it is known. */
  public get peer (): NodeName | undefined {
    return this._options.peer
  }

  /** Resolves when the link is over; its channel is then closed. */
  public async run (): Promise<ViewLinkEnd> {
    const { channel } = this._options
    const ended = new Promise<ViewLinkEnd>((resolve) => { this._end = resolve })
    const listeners = [
      channel.onClosed(() => this._finish('closed')),
      channel.onMessage((message) => {
        if (message.kind === 'viewUpdate' && message.viewUpdate != null) this._receive(message.viewUpdate)
      })
    ]
    this._ask(this._options.state.configuration.version)
    this._waitForNext()
    const end = await ended
    for (const listener of listeners) listener.dispose()
    this._silence?.dispose()
    channel.dispose()
    return end
  }

  /** Tells the other side whether this node reads the store itself, when that has changed. */
  public offer (readsStore: boolean): void {
    if (this._isOver || readsStore === this._readsStore) return
    this._readsStore = readsStore
    this._ask(this._options.state.configuration.version)
  }

  /** Ends the link on purpose. */
  public release (): void {
    this._finish('released')
  }

  /** `held`: version that the other side may take as the base of a delta; 0 for none. */
  private _ask (held: ConfigurationVersion): void {
    const { channel, state, self } = this._options
    channel.send({
      viewRequest: { node: self.name, configurationVersion: held, nodesPosition: state.nodes.position, readsStore: this._readsStore }
    })
  }

  private _receive (update: ReceivedViewUpdate): void {
    if (this._isOver) return
    const { clock, peer, self } = this._options
    const now = clock.now()
    // The address of a node that has gone may belong to another one, or to this one.
    if (update.node === self.name || (peer !== undefined && update.node !== peer)) return this._finish('other-node')
    this._waitForNext()
    if (!this._applyConfiguration(update, now)) return
    this._options.state.nodes.apply(decodeRows(update), now)
    if (!update.isCurrent) return this._onUseless('not-current')
    if (update.hops > MAXIMUM_HOPS || update.source === self.name) return this._onUseless('too-far')
    if (this._lagOf(update, now) > MAXIMUM_LAG_MS) return this._finish('outdated')
    this._options.onCurrent(update.hops)
  }

  private _onUseless (end: ViewLinkEnd): void {
    if (this._options.isStanding) this._options.onStale()
    else this._finish(end)
  }

  /** Time that an update was under way. One of earlier software does not tell and counts as new. */
  private _lagOf (update: ReceivedViewUpdate, now: Timestamp): number {
    const { question, questionAgo, confirmedAgo, tellsAge } = update
    const sentAt = tellsAge ? this._lag.sentAt({ question, questionAgo: questionAgo as Milliseconds }, now) : now
    this._confirmedAt = Math.max(this._confirmedAt, sentAt - confirmedAgo) as Timestamp
    const next = this._lag.ask(now)
    if (next !== undefined) this._options.channel.send({ ping: { number: next } })
    return now - sentAt
  }

  /** False if the configuration could not be restored; it has then been asked for anew. */
  private _applyConfiguration (update: ReceivedViewUpdate, now: Timestamp): boolean {
    const { state, channel, log } = this._options
    try {
      const text = decodeConfiguration(update, state.configuration, channel.remoteAddress)
      if (text !== undefined) state.configuration.offer(text, update.node, now)
      if (update.isCurrent) state.advanceConfiguration(update.configurationPosition as StorePosition)
      return true
    } catch (error) {
      log.log(VIEW_BODY_REJECTED, { step: 'view.apply', peer: channel.remoteAddress, version: update.configurationVersion, reason: String(error) })
      this._askAnew(update.configurationBase as ConfigurationVersion)
      return false
    }
  }

  /** After a delta that cannot be used another one is asked for, then the whole; without it the other side is of no use. */
  private _askAnew (base: ConfigurationVersion): void {
    const { version } = this._options.state.configuration
    if (base === NO_VERSION) this._finish('unreadable')
    else this._ask(base === version ? NO_VERSION : version)
  }

  private _waitForNext (): void {
    this._silence?.dispose()
    this._silence = this._options.clock.after(VIEW_SILENCE_MS, () => this._finish('silent'))
  }

  private _finish (end: ViewLinkEnd): void {
    if (this._isOver) return
    this._isOver = true
    this._end?.(end)
  }
}
