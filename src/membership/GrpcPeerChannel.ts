/** One gRPC stream as a channel of messages. */
import { status, type ClientDuplexStream, type ServerDuplexStream, type ServiceError } from '@grpc/grpc-js'
import { Emitter } from '../common/Emitter.js'
import { PEER_MESSAGE_INVALID, PEER_SEND_BUFFER_FULL, PEER_STREAM_FAILED } from './Events.js'
import { decodePeerMessage, encodePeerMessage } from './PeerCodec.js'
import type { ILogService } from '../common/Services.js'
import type { IEvent, NetworkAddress } from '../common/Types.js'
import type { PeerMessage, ReceivedPeerMessage } from '../generated/savoryknot/PeerMessage.js'
import type { IPeerChannel } from './Services.js'
import type { TransportMetrics } from './TransportMetrics.js'

/** Either side of a stream; the bytes are encoded and decoded by the channel. */
export type RawStream = ClientDuplexStream<Buffer, Buffer> | ServerDuplexStream<Buffer, Buffer>

/** What a channel needs. */
export interface IGrpcPeerChannelOptions {
  readonly stream: RawStream
  readonly remoteAddress: NetworkAddress
  /** Bytes that may wait to be sent. */
  readonly sendBufferBytes: number
  readonly log: ILogService
  readonly metrics: TransportMetrics
  /** Frees the connection under the stream after it ended. */
  readonly release: () => void
}

/** Encoded messages, so that one message to many peers is encoded once. */
const ENCODED = new WeakMap<PeerMessage, Buffer>()

/** Counts the bytes that wait, drops what goes over the limit, closes on nonsense. */
export class GrpcPeerChannel implements IPeerChannel {
  public readonly remoteAddress: NetworkAddress
  private readonly _onMessage = new Emitter<ReceivedPeerMessage>()
  private readonly _onClosed = new Emitter<void>()
  private _waitingBytes = 0
  private _isClosed = false
  private _isDropping = false

  constructor (private readonly _options: IGrpcPeerChannelOptions) {
    this.remoteAddress = _options.remoteAddress
    const { stream } = _options
    stream.on('data', (bytes: Buffer) => this._receive(bytes))
    stream.on('error', (error: ServiceError) => this._fail(error))
    stream.on('end', () => this.dispose())
    stream.on('close', () => this.dispose())
    stream.on('cancelled', () => this.dispose())
  }

  public get waitingBytes (): number {
    return this._waitingBytes
  }

  public get onMessage (): IEvent<ReceivedPeerMessage> {
    return this._onMessage.event
  }

  public get onClosed (): IEvent<void> {
    return this._onClosed.event
  }

  public send (message: PeerMessage): boolean {
    if (this._isClosed) return false
    const bytes = encodeOnce(message)
    if (this._waitingBytes + bytes.length > this._options.sendBufferBytes) return this._drop()
    this._isDropping = false
    this._waitingBytes += bytes.length
    this._options.metrics.countSent(message, bytes.length)
    this._options.stream.write(bytes, () => { this._waitingBytes -= bytes.length })
    return true
  }

  /** Ends the stream after what waits to be sent. */
  public dispose (): void {
    if (this._isClosed) return
    this._isClosed = true
    this._options.stream.end()
    this._options.release()
    this._onClosed.fire()
    this._onMessage.dispose()
    this._onClosed.dispose()
  }

  private _drop (): false {
    this._options.metrics.countDropped()
    if (!this._isDropping) this._options.log.log(PEER_SEND_BUFFER_FULL, { step: 'transport.send', peer: this.remoteAddress })
    this._isDropping = true
    return false
  }

  private _receive (bytes: Buffer): void {
    if (this._isClosed) return
    let message: ReceivedPeerMessage
    try {
      message = decodePeerMessage(bytes)
    } catch (error) {
      this._options.log.log(PEER_MESSAGE_INVALID, { step: 'transport.receive', peer: this.remoteAddress, reason: String(error) })
      this.dispose()
      return
    }
    this._options.metrics.countReceived(message, bytes.length)
    // A newer peer may send kinds that this version does not know.
    if (message.kind !== undefined) this._onMessage.fire(message)
  }

  private _fail (error: ServiceError): void {
    if (!this._isClosed && error.code !== status.CANCELLED) {
      this._options.log.log(PEER_STREAM_FAILED, { step: 'transport.stream', peer: this.remoteAddress, reason: error.message })
    }
    this.dispose()
  }
}

function encodeOnce (message: PeerMessage): Buffer {
  let bytes = ENCODED.get(message)
  if (bytes === undefined) {
    bytes = encodePeerMessage(message)
    ENCODED.set(message, bytes)
  }
  return bytes
}
