/** Transport of peer messages over gRPC streams. */
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

/** Dependencies, limits and timeouts of GrpcPeerTransport. */
export interface IGrpcPeerTransportOptions {
  /** Address to listen on; port 0 selects a free port. */
  readonly address: NetworkAddress
  readonly clock: IClockService
  readonly log: ILogService
  readonly metrics: IMetricsService
  readonly serverCredentials: ServerCredentials
  readonly channelCredentials: ChannelCredentials
  /** A longer message closes its stream. */
  readonly maximumMessageBytes: number
  /** Maximum number of bytes queued on one stream; messages that would exceed it are dropped. */
  readonly sendBufferBytes: number
  readonly dialTimeout: Milliseconds
  /** Time without received data after which HTTP/2 sends a keepalive ping. */
  readonly keepaliveInterval: Milliseconds
  readonly keepaliveTimeout: Milliseconds
  /** How long a stream that was ended may take to send its queued messages. */
  readonly closeGrace: Milliseconds
  /** How long the server may take to close its streams on shutdown; well below the time that remains in a planned stop. */
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

/** Options with defaults are optional. */
export type GrpcPeerTransportOptions =
  Partial<IGrpcPeerTransportOptions> & Omit<IGrpcPeerTransportOptions, keyof typeof DEFAULT_GRPC_PEER_TRANSPORT_OPTIONS>

/** Uses one server for all gRPC services of the process and one connection for each dialled stream. */
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

  /** Adds a gRPC service, or a method of one, to the server. Must be called before `bind` and `listen`. */
  public addService (definition: ServiceDefinition, implementation: UntypedServiceImplementation): void {
    this._server.addService(definition, implementation)
  }

  /** Binds the port and returns the address with the bound port. `listen` calls this method if it has not been called before. */
  public async bind (): Promise<NetworkAddress> {
    if (this._boundAddress !== undefined) return this._boundAddress
    const { address, serverCredentials } = this._options
    // Added here and not in the constructor, as loading the protocol definition is slow and nothing needs it earlier.
    this._addExchange()
    const port = await new Promise<number>((resolve, reject) => {
      this._server.bindAsync(address, serverCredentials, (error, boundPort) => error === null ? resolve(boundPort) : reject(error))
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

  /** Closes all streams, then the server. */
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
      // The deadline of grpc-js is a wall-clock time; a change of the system time during the wait would move it.
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
      // With a shared subchannel, the backoff after a refused connection would delay the next attempt to the same address.
      'grpc.use_local_subchannel_pool': 1,
      'grpc.enable_retries': 0,
      'grpc.enable_http_proxy': 0,
      'grpc.enable_channelz': 0,
      'grpc.service_config_disable_resolution': 1
    }
  }
}

/** Leaves messages encoded; the channel encodes and decodes them and counts their bytes. */
function passThrough (bytes: Buffer): Buffer {
  return bytes
}
