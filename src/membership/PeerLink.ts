/** A link: a channel over which the peer has identified itself with a hello. */
import { addDuration, durationBetween } from '../common/Ids.js'
import { Disposable } from '../common/Disposable.js'
import { Emitter } from '../common/Emitter.js'
import { LINK_CLOSED, PEER_MESSAGE_FAILED, PROCESS_RESUMED } from './Events.js'
import type { IClockService, ILogService } from '../common/Services.js'
import type { IEvent, Milliseconds, Timestamp } from '../common/Types.js'
import type { PeerMessage, ReceivedPeerMessage } from '../generated/savoryknot/PeerMessage.js'
import type { IOverlaySettings } from './Options.js'
import type { IPeerChannel, IPeerLink } from './Services.js'
import type { INodeRecord } from './Types.js'

/** Why a link was closed; `silent` means that nothing was received within the heartbeat timeout. */
export type LinkCloseReason = 'closed-here' | 'closed-by-peer' | 'lost' | 'silent'

/** Dependencies and settings of PeerLink. */
export interface IPeerLinkOptions {
  readonly channel: IPeerChannel
  readonly peer: INodeRecord
  readonly isLocal: boolean
  /** True if this node opened the link. */
  readonly isDialled: boolean
  readonly clock: IClockService
  readonly log: ILogService
  readonly settings: IOverlaySettings
}

/** Sends heartbeats while nothing else is sent, and closes the link when the peer misses its heartbeats. */
export class PeerLink extends Disposable implements IPeerLink {
  public readonly peer: INodeRecord
  public readonly isLocal: boolean
  public readonly isDialled: boolean
  private readonly _onMessage = new Emitter<ReceivedPeerMessage>()
  private readonly _onClosed = new Emitter<void>()
  private _lastReceivedAt: Timestamp
  private _lastSentAt: Timestamp
  private _nextTickAt: Timestamp
  private _lastPingNumber = 0
  private _closeReason: LinkCloseReason | undefined

  constructor (private readonly _options: IPeerLinkOptions) {
    super()
    const { channel, clock } = _options
    this.peer = _options.peer
    this.isLocal = _options.isLocal
    this.isDialled = _options.isDialled
    const now = clock.now()
    this._lastReceivedAt = now
    this._lastSentAt = now
    this._nextTickAt = addDuration(now, this._tickInterval)
    this.register(clock.every(this._tickInterval, () => this._tick(clock.now())))
    this.register(channel.onMessage((message) => this._receive(message)))
    this.register(channel.onClosed(() => this._finish('lost')))
    this.register({ dispose: () => channel.dispose() })
  }

  /** Undefined while the link is open. */
  public get closeReason (): LinkCloseReason | undefined {
    return this._closeReason
  }

  /** When the last message of the peer was received. */
  public get lastReceivedAt (): Timestamp {
    return this._lastReceivedAt
  }

  public get onMessage (): IEvent<ReceivedPeerMessage> {
    return this._onMessage.event
  }

  public get onClosed (): IEvent<void> {
    return this._onClosed.event
  }

  public send (message: PeerMessage): boolean {
    if (this._closeReason !== undefined) return false
    this._lastSentAt = this._options.clock.now()
    return this._options.channel.send(message)
  }

  /** Closes the link deliberately and notifies the peer, so that it does not suspect this node. */
  public close (reason: string): void {
    this.send({ linkClose: { reason } })
    this._finish('closed-here')
  }

  private get _tickInterval (): Milliseconds {
    return this._options.settings.heartbeatInterval / 2 as Milliseconds
  }

  private _tick (now: Timestamp): void {
    const { settings } = this._options
    const timerDelay = durationBetween(this._nextTickAt, now)
    this._nextTickAt = addDuration(now, this._tickInterval)
    // A suspended or blocked process leaves messages unread, so the delay of this timer does not count towards the heartbeat timeout.
    this._lastReceivedAt = Math.min(now, this._lastReceivedAt + Math.max(0, timerDelay)) as Timestamp
    if (timerDelay > settings.heartbeatTimeout / 2) {
      this._options.log.log(PROCESS_RESUMED, { step: 'overlay.heartbeat', peer: this.peer.id, latenessMs: timerDelay })
    }
    if (durationBetween(this._lastReceivedAt, now) > settings.heartbeatTimeout) this._finish('silent')
    else if (durationBetween(this._lastSentAt, now) >= settings.heartbeatInterval - this._tickInterval / 2) this._sendHeartbeat()
  }

  private _sendHeartbeat (): void {
    this._lastPingNumber++
    this.send({ ping: { number: this._lastPingNumber } })
  }

  private _receive (message: ReceivedPeerMessage): void {
    if (this._closeReason !== undefined) return
    this._lastReceivedAt = this._options.clock.now()
    if (message.kind === 'linkClose') {
      this._finish('closed-by-peer')
      return
    }
    if (message.kind === 'ping') return
    try {
      this._onMessage.fire(message)
    } catch (error) {
      this._options.log.log(PEER_MESSAGE_FAILED, { step: `overlay.${message.kind ?? 'unknown'}`, peer: this.peer.id, reason: String(error) })
      this._finish('lost')
    }
  }

  private _finish (closeReason: LinkCloseReason): void {
    if (this._closeReason !== undefined) return
    this._closeReason = closeReason
    this._options.log.log(LINK_CLOSED, { step: 'overlay.link', peer: this.peer.id, reason: closeReason })
    this.dispose()
    this._onClosed.fire()
    this._onClosed.dispose()
    this._onMessage.dispose()
  }
}
