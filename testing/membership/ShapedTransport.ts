/** Transport wrapper that adds one-way latency and partitions between failure domains to real sockets. */
import { PeerUnreachableError } from '../../src/membership/MembershipErrors.js'
import type { IClockService } from '../../src/common/Services.js'
import type { FailureDomain, IEvent, Milliseconds, NetworkAddress } from '../../src/common/Types.js'
import type { PeerMessage, ReceivedPeerMessage } from '../../src/generated/savoryknot/PeerMessage.js'
import type { IPeerChannel, IPeerTransport } from '../../src/membership/Services.js'

/** Latencies and partitions, shared by all transports of a benchmark. */
export interface INetworkShape {
  /** Failure domain of the node at a peer address; undefined if it is not known. */
  domainOf (address: NetworkAddress): FailureDomain | undefined
  /** One-way latency. */
  latency (from: FailureDomain, to: FailureDomain): Milliseconds
  isCut (from: FailureDomain, to: FailureDomain): boolean
}

/** Dependencies and timeout of ShapedTransport. */
export interface IShapedTransportOptions {
  readonly inner: IPeerTransport
  readonly failureDomain: FailureDomain
  readonly shape: INetworkShape
  readonly clock: IClockService
  readonly dialTimeout: Milliseconds
}

/**
 * Delays or drops the messages that this node sends. The failure domain of the peer on an accepted channel is only known
 * after the peer's hello, so messages before it are not delayed.
 */
export class ShapedTransport implements IPeerTransport {
  constructor (private readonly _options: IShapedTransportOptions) {}

  public listen (accept: (channel: IPeerChannel) => void): Promise<void> {
    return this._options.inner.listen((channel) => accept(new ShapedChannel(channel, this._options, undefined)))
  }

  public async dial (address: NetworkAddress): Promise<IPeerChannel> {
    const { inner, shape, failureDomain, clock, dialTimeout } = this._options
    const remote = shape.domainOf(address)
    if (remote !== undefined && shape.isCut(failureDomain, remote)) {
      await clock.sleep(dialTimeout)
      throw new PeerUnreachableError(`no connection to ${address}`, { step: 'transport.dial', peer: address })
    }
    if (remote !== undefined) await clock.sleep(shape.latency(failureDomain, remote))
    return new ShapedChannel(await inner.dial(address), this._options, remote)
  }

  public close (): Promise<void> {
    return this._options.inner.close()
  }
}

/** Delays sent messages, and drops messages in both directions during a partition. */
class ShapedChannel implements IPeerChannel {
  public readonly remoteAddress: NetworkAddress
  public readonly onClosed: IEvent<void>

  constructor (
    private readonly _inner: IPeerChannel,
    private readonly _options: IShapedTransportOptions,
    private _remoteDomain: FailureDomain | undefined
  ) {
    this.remoteAddress = _inner.remoteAddress
    this.onClosed = _inner.onClosed
  }

  public get waitingBytes (): number {
    return this._inner.waitingBytes
  }

  public get onMessage (): IEvent<ReceivedPeerMessage> {
    return (listener) => this._inner.onMessage((message) => {
      if (message.hello?.self != null) this._remoteDomain = message.hello.self.failureDomain as FailureDomain
      if (!this._isCut()) listener(message)
    })
  }

  public send (message: PeerMessage): boolean {
    const { shape, failureDomain, clock } = this._options
    if (this._isCut()) return true
    const delay = this._remoteDomain === undefined ? 0 : shape.latency(failureDomain, this._remoteDomain)
    if (delay === 0) return this._inner.send(message)
    clock.after(delay as Milliseconds, () => { if (!this._isCut()) this._inner.send(message) })
    return true
  }

  public dispose (): void {
    this._inner.dispose()
  }

  private _isCut (): boolean {
    const { shape, failureDomain } = this._options
    return this._remoteDomain !== undefined && shape.isCut(failureDomain, this._remoteDomain)
  }
}
