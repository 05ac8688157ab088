/** Small messages to every node, flooded over the links. */
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

/** What the broadcast service needs. */
export interface IBroadcastServiceOptions {
  readonly overlay: IOverlayService
  readonly self: INodeRecord
  readonly clock: IClockService
  readonly log: ILogService
}

/** Longer payloads are refused. */
export const MAXIMUM_BROADCAST_BYTES = 16_384

const MAXIMUM_TOPIC_LENGTH = 64
const MAXIMUM_ORIGIN_LENGTH = 64

/** Messages younger than this are sent again over a new link, which reaches nodes that were cut off for a moment. */
const RECENT_MS = 30_000 as Milliseconds
const MAXIMUM_RECENT = 128

/** A message that a new link still gets. */
interface IRecentMessage {
  readonly message: PeerMessage
  readonly expiresAt: Timestamp
  readonly isLocal: boolean
}

/** Forwards each message once; remembers by origin and number what it has seen, within bounds. */
export class BroadcastService extends Disposable implements IBroadcastService, IService {
  private readonly _onMessage = this.register(new Emitter<IBroadcastMessage>())
  private readonly _seen = new SeenNumbers()
  private _recent: IRecentMessage[] = []
  private _number = 0

  constructor (private readonly _options: IBroadcastServiceOptions) {
    super()
    this.register(_options.overlay.onLinkOpened((link) => this._serve(link)))
  }

  public get onMessage (): IEvent<IBroadcastMessage> {
    return this._onMessage.event
  }

  public stop (): void {
    this.dispose()
  }

  /** Sends to every node of every failure domain, but not to this one. Throws a RangeError if the payload is too long. */
  public publish (topic: string, payload: Uint8Array): void {
    this._publish(topic, payload, '')
  }

  /** Sends to every node of this failure domain only. */
  public publishLocally (topic: string, payload: Uint8Array): void {
    this._publish(topic, payload, this._options.self.failureDomain)
  }

  private _publish (topic: string, payload: Uint8Array, failureDomain: FailureDomain | ''): void {
    if (payload.length > MAXIMUM_BROADCAST_BYTES) throw new RangeError(`a broadcast of ${payload.length} bytes is too long`)
    this._number++
    const { id } = this._options.self
    this._seen.add(id, this._number)
    this._forward({ broadcast: { origin: id, number: this._number, topic, payload, failureDomain } }, failureDomain !== '', undefined)
  }

  private _serve (link: IPeerLink): void {
    link.onMessage((message) => { if (message.broadcast != null) this._receive(link, message.broadcast) })
    const now = this._options.clock.now()
    this._recent = this._recent.filter((recent) => recent.expiresAt > now)
    for (const recent of this._recent) {
      if (link.isLocal || !recent.isLocal) link.send(recent.message)
    }
  }

  private _receive (link: IPeerLink, broadcast: ReceivedBroadcast): void {
    const { origin, number, topic, payload, failureDomain } = broadcast
    if (!isWithinLimits(broadcast)) {
      this._options.log.log(PEER_MESSAGE_INVALID, { step: 'membership.broadcast', peer: link.peer.id, reason: 'broadcast outside its limits' })
      return
    }
    const isForeign = failureDomain !== '' && failureDomain !== this._options.self.failureDomain
    if (isForeign || !this._seen.add(origin as NodeId, number)) return
    this._forward({ broadcast: { origin, number, topic, payload, failureDomain } }, failureDomain !== '', link)
    this._onMessage.fire({ topic, origin: origin as NodeId, payload })
  }

  private _forward (message: PeerMessage, isLocal: boolean, source: IPeerLink | undefined): void {
    if (this._recent.length >= MAXIMUM_RECENT) this._recent.shift()
    this._recent.push({ message, isLocal, expiresAt: addDuration(this._options.clock.now(), RECENT_MS) })
    for (const link of this._options.overlay.links) {
      if (link !== source && (link.isLocal || !isLocal)) link.send(message)
    }
  }
}

function isWithinLimits ({ origin, number, topic, payload }: ReceivedBroadcast): boolean {
  return origin.length > 0 && origin.length <= MAXIMUM_ORIGIN_LENGTH && topic.length <= MAXIMUM_TOPIC_LENGTH &&
    payload.length <= MAXIMUM_BROADCAST_BYTES && Number.isSafeInteger(number) && number > 0
}
