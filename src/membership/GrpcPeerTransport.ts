/** Streams between nodes over gRPC. */
import {
  Client, credentials, Server, ServerCredentials, status, type ChannelCredentials, type ChannelOptions,
  type ServerDuplexStream, type ServiceDefinition, type UntypedServiceImplementation
} from '@grpc/grpc-js'
import { shutDownGrpcServer } from '../common/GrpcServerShutdown.js'
import { NODE_SERVER_NAME } from '../common/CertificateIdentity.js'
import { GrpcPeerChannel } from './GrpcPeerChannel.js'
import { PeerUnreachableError } from './MembershipErrors.js'
import { exchangeDefinition } from './PeerCodec.js'
import { TransportMetrics } from './TransportMetrics.js'
import type { IClockService, ILogService, IMetricsService } from '../common/Services.js'
import type { Milliseconds, NetworkAddress } from '../common/Types.js'
import type { IPeerChannel, IPeerTransport } from './Services.js'

/** What the transport needs and how it behaves. */
export interface IGrpcPeerTransportOptions {
  /** Address to listen at; port 0 takes a free one. */
  readonly address: NetworkAddress
  readonly clock: IClockService
  readonly log: ILogService
  readonly metrics: IMetricsService
  readonly serverCredentials: ServerCredentials
  readonly channelCredentials: ChannelCredentials
  /** A longer message ends its stream. */
  readonly maximumMessageBytes: number
  /** Bytes that may wait on one stream; messages over it are dropped. */
  readonly sendBufferBytes: number
  readonly dialTimeout: Milliseconds
  /** Silence after which HTTP/2 asks whether the other side is there. */
  readonly keepaliveInterval: Milliseconds
  readonly keepaliveTimeout: Milliseconds
  /** How long a stream that was ended may take to send what waits. */
  readonly closeGrace: Milliseconds
  /** How long the server may take to end its streams when it is closed; well within the time that is left of a planned stop. */
  readonly shutdownGrace: Milliseconds
}

/** Defaults of `GrpcPeerTransport`. */
export const DEFAULT_GRPC_PEER_TRANSPORT_OPTIONS = Object.freeze({
  serverCredentials: ServerCredentials.createInsecure(),
  channelCredentials: credentials.createInsecure(),
  maximumMessageBytes: 1_048_576,
  sendBufferBytes: 4_194_304,
  dialTimeout: 1_000 as Milliseconds,
  keepaliveInterval: 20_000 as Milliseconds,
  keepaliveTimeout: 5_000 as Milliseconds,
  closeGrace: 500 as Milliseconds,
  shutdownGrace: 300 as Milliseconds
})

/** Options without defaults are required. */
export type GrpcPeerTransportOptions =
  Partial<IGrpcPeerTransportOptions> & Omit<IGrpcPeerTransportOptions, keyof typeof DEFAULT_GRPC_PEER_TRANSPORT_OPTIONS>

/** One server for every gRPC service of the process, and one connection for each stream that was dialled. */
export class GrpcPeerTransport implements IPeerTransport {
  private readonly _options: IGrpcPeerTransportOptions
  private readonly _metrics: TransportMetrics
  private readonly _server: Server
  private readonly _channels = new Set<IPeerChannel>()
  private _accept: ((channel: IPeerChannel) => void) | undefined
  private _boundAddress: NetworkAddress | undefined

  constructor (options: GrpcPeerTransportOptions) {
    this._options = { ...DEFAULT_GRPC_PEER_TRANSPORT_OPTIONS, ...options }
    this._metrics = new TransportMetrics(options.metrics)
    this._server = new Server(this._channelOptions())
  }

  /** Adds a further gRPC service, or a method of one, to the server. Call it before `bind` and `listen`. */
  public addService (definition: ServiceDefinition, implementation: UntypedServiceImplementation): void {
    this._server.addService(definition, implementation)
  }

  /** Takes the port; gives the address with the port that was taken. `listen` does it too if it was not done before. */
  public async bind (): Promise<NetworkAddress> {
    if (this._boundAddress !== undefined) return this._boundAddress
    const { address, serverCredentials } = this._options
    // Not when it is made: reading the protocol takes a while, and nobody needs it before.
    this._addExchange()
    const port = await new Promise<number>((resolve, reject) => {
      this._server.bindAsync(address, serverCredentials, (error, taken) => error === null ? resolve(taken) : reject(error))
    })
    this._boundAddress = `${address.slice(0, address.lastIndexOf(':'))}:${port}` as NetworkAddress
    return this._boundAddress
  }

  public async listen (accept: (channel: IPeerChannel) => void): Promise<void> {
    this._accept = accept
    await this.bind()
  }

  public async dial (address: NetworkAddress): Promise<IPeerChannel> {
    const client = new Client(address, this._options.channelCredentials, this._channelOptions())
    try {
      await this._waitForReady(client)
    } catch (error) {
      client.close()
      throw new PeerUnreachableError(`no connection to ${address}`, { step: 'transport.dial', peer: address, cause: error })
    }
    const { path } = exchangeDefinition()
    const stream = client.makeBidiStreamRequest<Buffer, Buffer>(path, passThrough, passThrough)
    const release = (): void => {
      this._options.clock.after(this._options.closeGrace, () => {
        stream.cancel()
        client.close()
      })
    }
    return this._open({ stream, remoteAddress: address, release })
  }

  /** Ends every stream, then the server. */
  public async close (): Promise<void> {
    this._accept = undefined
    for (const channel of [...this._channels]) channel.dispose()
    await shutDownGrpcServer(this._server, this._options.clock, this._options.shutdownGrace)
  }

  private _addExchange (): void {
    const Exchange = exchangeDefinition()
    const raw = {
      ...Exchange,
      requestSerialize: passThrough,
      requestDeserialize: passThrough,
      responseSerialize: passThrough,
      responseDeserialize: passThrough
    }
    const serve = (stream: ServerDuplexStream<Buffer, Buffer>): void => this._serve(stream)
    this._server.addService({ Exchange: raw } as unknown as ServiceDefinition, { Exchange: serve })
  }

  private _serve (stream: ServerDuplexStream<Buffer, Buffer>): void {
    if (this._accept === undefined) {
      stream.emit('error', { code: status.UNAVAILABLE, details: 'not listening' })
      return
    }
    this._accept(this._open({ stream, remoteAddress: stream.getPeer() as NetworkAddress, release: () => {} }))
  }

  private _open (parts: Pick<ConstructorParameters<typeof GrpcPeerChannel>[0], 'stream' | 'remoteAddress' | 'release'>): IPeerChannel {
    const { sendBufferBytes, log } = this._options
    const channel = new GrpcPeerChannel({ ...parts, sendBufferBytes, log, metrics: this._metrics })
    this._channels.add(channel)
    channel.onClosed(() => this._channels.delete(channel))
    return channel
  }

  private _waitForReady (client: Client): Promise<void> {
    const { clock, dialTimeout } = this._options
    return new Promise((resolve, reject) => {
      // The library's own deadline is a time of day, which may be set while it is waited for.
      const timer = clock.after(dialTimeout, () => reject(new Error(`no connection after ${dialTimeout} ms`)))
      client.waitForReady(Infinity, (error) => {
        timer.dispose()
        if (error === undefined || error === null) resolve()
        else reject(error)
      })
    })
  }

  private _channelOptions (): ChannelOptions {
    const { maximumMessageBytes, keepaliveInterval, keepaliveTimeout } = this._options
    return {
      'grpc.ssl_target_name_override': NODE_SERVER_NAME,
      'grpc.max_receive_message_length': maximumMessageBytes,
      'grpc.max_send_message_length': maximumMessageBytes,
      'grpc.keepalive_time_ms': keepaliveInterval,
      'grpc.keepalive_timeout_ms': keepaliveTimeout,
      // A connection that was refused a moment ago must not delay the next attempt.
      'grpc.use_local_subchannel_pool': 1,
      'grpc.enable_retries': 0,
      'grpc.enable_http_proxy': 0,
      'grpc.enable_channelz': 0,
      'grpc.service_config_disable_resolution': 1
    }
  }
}

/** Bytes are encoded and decoded by the channel, which counts them. */
function passThrough (bytes: Buffer): Buffer {
  return bytes
}
