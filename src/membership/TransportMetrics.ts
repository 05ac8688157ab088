/** Counters of bytes and messages between nodes. */
import { Counter } from 'prom-client'
import type { IMetricsService } from '../common/Services.js'
import type { PeerMessage, ReceivedPeerMessage } from '../generated/savoryknot/PeerMessage.js'

/** Counts payload bytes and messages by kind, without the framing of HTTP/2 and TCP. */
export class TransportMetrics {
  private readonly _bytes: Counter
  private readonly _messages: Counter
  private readonly _dropped: Counter

  constructor (metrics: IMetricsService) {
    const registers = [metrics.registry]
    this._bytes = new Counter({
      name: 'savoryknot_peer_bytes_total',
      help: 'Payload bytes between nodes, by direction and kind of message. Unit: bytes.',
      labelNames: ['direction', 'kind'],
      registers
    })
    this._messages = new Counter({
      name: 'savoryknot_peer_messages_total',
      help: 'Messages between nodes, by direction and kind. Unit: messages.',
      labelNames: ['direction', 'kind'],
      registers
    })
    this._dropped = new Counter({
      name: 'savoryknot_peer_dropped_messages_total',
      help: 'Messages dropped because the peer reads too slowly. Unit: messages.',
      registers
    })
  }

  public countSent (message: PeerMessage, bytes: number): void {
    this._count('sent', kindOf(message), bytes)
  }

  public countReceived (message: ReceivedPeerMessage, bytes: number): void {
    this._count('received', message.kind ?? 'unknown', bytes)
  }

  public countDropped (): void {
    this._dropped.inc()
  }

  private _count (direction: 'sent' | 'received', kind: string, bytes: number): void {
    this._bytes.inc({ direction, kind }, bytes)
    this._messages.inc({ direction, kind })
  }
}

/** Kind of an outgoing message: the name of its only field. */
function kindOf (message: PeerMessage): string {
  for (const key in message) {
    if (key !== 'kind') return key
  }
  return 'unknown'
}
