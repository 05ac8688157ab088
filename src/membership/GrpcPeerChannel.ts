/** A peer channel over one gRPC stream. */
import { status, type ClientDuplexStream, type ServerDuplexStream, type ServiceError } from '@grpc/grpc-js'
import { Emitter } from '../common/Emitter.js'
import { PEER_MESSAGE_INVALID, PEER_SEND_BUFFER_FULL, PEER_STREAM_FAILED } from './Events.js'
import { decodePeerMessage, encodePeerMessage } from './PeerCodec.js'
import type { ILogService } from '../common/Services.js'
import type { IEvent, NetworkAddress } from '../common/Types.js'
import type { PeerMessage, ReceivedPeerMessage } from '../generated/savoryknot/PeerMessage.js'
import type { IPeerChannel } from './Services.js'
import type { TransportMetrics } from './TransportMetrics.js'

/** Client or server side of a stream of encoded messages. */
export type RawStream = ClientDuplexStream<Buffer, Buffer> | ServerDuplexStream<Buffer, Buffer>

/** Dependencies and limits of GrpcPeerChannel. */
export interface IGrpcPeerChannelOptions {
  readonly stream: RawStream
  readonly remoteAddress: NetworkAddress
  /** Maximum number of bytes queued for sending. */
  readonly sendBufferBytes: number
  readonly log: ILogService
  readonly metrics: TransportMetrics
  /** Releases the connection of the stream after the stream has ended. */
  readonly release: () => void
}

/** Cache of encoded messages, so that a message to many peers is encoded only once. */
const ENCODED_MESSAGES = new WeakMap<PeerMessage, Buffer>()

/** Counts queued bytes, drops messages over the limit, and closes the stream when a message cannot be decoded. */
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

  /** Ends the stream after its queued messages. */
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
    // A peer with a newer software version may send kinds of messages that this version does not know.
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
  let bytes = ENCODED_MESSAGES.get(message)
  if (bytes === undefined) {
    bytes = encodePeerMessage(message)
    ENCODED_MESSAGES.set(message, bytes)
  }
  return bytes
}
