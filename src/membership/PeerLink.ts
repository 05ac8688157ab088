/** One link: a channel whose other side has introduced itself. */
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

/** Why a link ended. */
export type LinkEnd = 'closed-here' | 'closed-by-peer' | 'lost' | 'silent'

/** What a link needs. */
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

/** Sends heartbeats when nothing else is sent, ends when the peer is silent. */
export class PeerLink extends Disposable implements IPeerLink {
  public readonly peer: INodeRecord
  public readonly isLocal: boolean
  public readonly isDialled: boolean
  private readonly _onMessage = new Emitter<ReceivedPeerMessage>()
  private readonly _onClosed = new Emitter<void>()
  private _lastHeardAt: Timestamp
  private _lastSentAt: Timestamp
  private _nextTickAt: Timestamp
  private _number = 0
  private _end: LinkEnd | undefined

  constructor (private readonly _options: IPeerLinkOptions) {
    super()
    const { channel, clock } = _options
    this.peer = _options.peer
    this.isLocal = _options.isLocal
    this.isDialled = _options.isDialled
    const now = clock.now()
    this._lastHeardAt = now
    this._lastSentAt = now
    this._nextTickAt = addDuration(now, this._tickInterval)
    this.register(clock.every(this._tickInterval, () => this._tick(clock.now())))
    this.register(channel.onMessage((message) => this._receive(message)))
    this.register(channel.onClosed(() => this._finish('lost')))
    this.register({ dispose: () => channel.dispose() })
  }

  /** Undefined while the link is open. */
  public get end (): LinkEnd | undefined {
    return this._end
  }

  /** When anything of the peer arrived last. */
  public get lastHeardAt (): Timestamp {
    return this._lastHeardAt
  }

  public get onMessage (): IEvent<ReceivedPeerMessage> {
    return this._onMessage.event
  }

  public get onClosed (): IEvent<void> {
    return this._onClosed.event
  }

  public send (message: PeerMessage): boolean {
    if (this._end !== undefined) return false
    this._lastSentAt = this._options.clock.now()
    return this._options.channel.send(message)
  }

  /** Ends the link on purpose; the peer is told, so that it does not suspect this node. */
  public close (reason: string): void {
    this.send({ linkClose: { reason } })
    this._finish('closed-here')
  }

  private get _tickInterval (): Milliseconds {
    return this._options.settings.heartbeatInterval / 2 as Milliseconds
  }

  private _tick (now: Timestamp): void {
    const { settings } = this._options
    const lateness = durationBetween(this._nextTickAt, now)
    this._nextTickAt = addDuration(now, this._tickInterval)
    // While this process did not run, what the peer sent waited to be read.
    this._lastHeardAt = Math.min(now, this._lastHeardAt + Math.max(0, lateness)) as Timestamp
    if (lateness > settings.silenceTimeout / 2) {
      this._options.log.log(PROCESS_RESUMED, { step: 'overlay.heartbeat', peer: this.peer.id, latenessMs: lateness })
    }
    if (durationBetween(this._lastHeardAt, now) > settings.silenceTimeout) this._finish('silent')
    else if (durationBetween(this._lastSentAt, now) >= settings.heartbeatInterval - this._tickInterval / 2) this._sendHeartbeat()
  }

  private _sendHeartbeat (): void {
    this._number++
    this.send({ ping: { number: this._number } })
  }

  private _receive (message: ReceivedPeerMessage): void {
    if (this._end !== undefined) return
    this._lastHeardAt = this._options.clock.now()
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

  private _finish (end: LinkEnd): void {
    if (this._end !== undefined) return
    this._end = end
    this._options.log.log(LINK_CLOSED, { step: 'overlay.link', peer: this.peer.id, reason: end })
    this.dispose()
    this._onClosed.fire()
    this._onClosed.dispose()
    this._onMessage.dispose()
  }
}
