/** Floods small messages over the links to every node. */
import { addDuration } from '../common/Ids.js'
import { Disposable } from '../common/Disposable.js'
import { Emitter } from '../common/Emitter.js'
import { PEER_MESSAGE_INVALID } from './Events.js'
import { SeenNumbers } from './SeenNumbers.js'
import type { IClockService, ILogService, IService } from '../common/Services.js'
import type { FailureDomain, IEvent, Milliseconds, NodeId, Timestamp } from '../common/Types.js'
import type { ReceivedBroadcast } from '../generated/savoryknot/Broadcast.js'
import type { PeerMessage } from '../generated/savoryknot/PeerMessage.js'
import type { INodeRecord } from './Types.js'
import type { IBroadcastMessage, IBroadcastService, IOverlayService, IPeerLink } from './Services.js'

/** Dependencies of BroadcastService. */
export interface IBroadcastServiceOptions {
  readonly overlay: IOverlayService
  readonly self: INodeRecord
  readonly clock: IClockService
  readonly log: ILogService
}

/** Maximum length of a payload. */
export const MAXIMUM_BROADCAST_BYTES = 16_384

const MAXIMUM_TOPIC_LENGTH = 64
const MAXIMUM_ORIGIN_LENGTH = 64

/** Messages are sent again over links that open within this time, to reach nodes that were briefly partitioned. */
const RETRANSMISSION_PERIOD_MS = 30_000 as Milliseconds
const MAXIMUM_RECENT_MESSAGES = 128

/** A message that is sent again over new links. */
interface IRecentMessage {
  readonly message: PeerMessage
  readonly expiresAt: Timestamp
  readonly isLocal: boolean
}

/** Forwards each message once; recognises duplicates by origin and number, in bounded memory. */
export class BroadcastService extends Disposable implements IBroadcastService, IService {
  private readonly _onMessage = this.register(new Emitter<IBroadcastMessage>())
  private readonly _seenNumbers = new SeenNumbers()
  private _recentMessages: IRecentMessage[] = []
  private _lastNumber = 0

  constructor (private readonly _options: IBroadcastServiceOptions) {
    super()
    this.register(_options.overlay.onLinkOpened((link) => this._addLink(link)))
  }

  public get onMessage (): IEvent<IBroadcastMessage> {
    return this._onMessage.event
  }

  public stop (): void {
    this.dispose()
  }

  /** Sends to every other node of every failure domain. Throws a RangeError if the payload is too long. */
  public publish (topic: string, payload: Uint8Array): void {
    this._publish(topic, payload, '')
  }

  /** Sends to every other node of the own failure domain only. Throws a RangeError if the payload is too long. */
  public publishLocally (topic: string, payload: Uint8Array): void {
    this._publish(topic, payload, this._options.self.failureDomain)
  }

  private _publish (topic: string, payload: Uint8Array, failureDomain: FailureDomain | ''): void {
    if (payload.length > MAXIMUM_BROADCAST_BYTES) throw new RangeError(`broadcast payload of ${payload.length} bytes is too long`)
    this._lastNumber++
    const { id } = this._options.self
    this._seenNumbers.add(id, this._lastNumber)
    this._forward({ broadcast: { origin: id, number: this._lastNumber, topic, payload, failureDomain } }, failureDomain !== '', undefined)
  }

  private _addLink (link: IPeerLink): void {
    link.onMessage((message) => { if (message.broadcast != null) this._receive(link, message.broadcast) })
    const now = this._options.clock.now()
    this._recentMessages = this._recentMessages.filter((recent) => recent.expiresAt > now)
    for (const recent of this._recentMessages) {
      if (link.isLocal || !recent.isLocal) link.send(recent.message)
    }
  }

  private _receive (link: IPeerLink, broadcast: ReceivedBroadcast): void {
    const { origin, number, topic, payload, failureDomain } = broadcast
    if (!isWithinLimits(broadcast)) {
      this._options.log.log(PEER_MESSAGE_INVALID, { step: 'membership.broadcast', peer: link.peer.id, reason: 'broadcast exceeds its limits' })
      return
    }
    const isForeign = failureDomain !== '' && failureDomain !== this._options.self.failureDomain
    if (isForeign || !this._seenNumbers.add(origin as NodeId, number)) return
    this._forward({ broadcast: { origin, number, topic, payload, failureDomain } }, failureDomain !== '', link)
    this._onMessage.fire({ topic, origin: origin as NodeId, payload })
  }

  private _forward (message: PeerMessage, isLocal: boolean, source: IPeerLink | undefined): void {
    if (this._recentMessages.length >= MAXIMUM_RECENT_MESSAGES) this._recentMessages.shift()
    this._recentMessages.push({ message, isLocal, expiresAt: addDuration(this._options.clock.now(), RETRANSMISSION_PERIOD_MS) })
    for (const link of this._options.overlay.links) {
      if (link !== source && (link.isLocal || !isLocal)) link.send(message)
    }
  }
}

function isWithinLimits ({ origin, number, topic, payload }: ReceivedBroadcast): boolean {
  return origin.length > 0 && origin.length <= MAXIMUM_ORIGIN_LENGTH && topic.length <= MAXIMUM_TOPIC_LENGTH &&
    payload.length <= MAXIMUM_BROADCAST_BYTES && Number.isSafeInteger(number) && number > 0
}
