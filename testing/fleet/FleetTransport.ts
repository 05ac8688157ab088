/** Transport of one fleet node: defers received messages while the node is paused, drops all once it is killed, counts bytes. */
import type { IEvent, NetworkAddress, Region } from '../../src/common/Types.js'
import type { PeerMessage, ReceivedPeerMessage } from '../../src/generated/savoryknot/PeerMessage.js'
import type { IPeerChannel, IPeerTransport } from '../../src/membership/Services.js'
import type { PausableClock } from './PausableClock.js'
import type { RegionTraffic } from './RegionTraffic.js'

/** Options of a fleet transport. */
export interface IFleetTransportOptions {
  readonly inner: IPeerTransport
  readonly clock: PausableClock
  readonly region: Region
  readonly traffic: RegionTraffic
  /** Kinds of messages that are dropped instead of being sent; used to measure baselines. */
  readonly suppressed: ReadonlySet<string>
}

/** Wraps the transport that simulates latencies and partitions. */
export class FleetTransport implements IPeerTransport {
  private _isKilled = false

  constructor (private readonly _options: IFleetTransportOptions) {}

  public get isKilled (): boolean {
    return this._isKilled
  }

  public get options (): IFleetTransportOptions {
    return this._options
  }

  /** From now on, drops all messages that the node sends or receives. */
  public kill (): void {
    this._isKilled = true
  }

  public listen (accept: (channel: IPeerChannel) => void): Promise<void> {
    const { inner, clock } = this._options
    return inner.listen((channel) => {
      const wrapped = new FleetChannel(channel, this)
      clock.runWhenRunning(() => accept(wrapped))
    })
  }

  public async dial (address: NetworkAddress): Promise<IPeerChannel> {
    return new FleetChannel(await this._options.inner.dial(address), this)
  }

  public close (): Promise<void> {
    return this._options.inner.close()
  }
}

/** One channel of a fleet node. */
class FleetChannel implements IPeerChannel {
  private _remoteRegion: Region | undefined

  constructor (private readonly _channel: IPeerChannel, private readonly _transport: FleetTransport) {}

  public get remoteAddress (): NetworkAddress {
    return this._channel.remoteAddress
  }

  public get waitingBytes (): number {
    return this._channel.waitingBytes
  }

  public get onMessage (): IEvent<ReceivedPeerMessage> {
    return (listener) => this._channel.onMessage((message) => {
      if (message.hello?.self != null) this._remoteRegion = message.hello.self.region as Region
      this._transport.options.clock.runWhenRunning(() => { if (!this._transport.isKilled) listener(message) })
    })
  }

  public get onClosed (): IEvent<void> {
    return (listener) => this._channel.onClosed(() => this._transport.options.clock.runWhenRunning(listener))
  }

  public send (message: PeerMessage): boolean {
    if (this._transport.isKilled) return false
    const { region, traffic, suppressed } = this._transport.options
    if (suppressed.size > 0 && Object.keys(message).some((kind) => suppressed.has(kind))) return true
    const isSent = this._channel.send(message)
    if (isSent && this._remoteRegion !== undefined) traffic.countMessage(region, this._remoteRegion, message)
    return isSent
  }

  public dispose (): void {
    this._channel.dispose()
  }
}
