/** In-memory streams between nodes of one process, with latency, partitions and paused nodes, for deterministic tests. */
import { Emitter } from '../../src/common/Emitter.js'
import { PeerUnreachableError } from '../../src/membership/MembershipErrors.js'
import { decodePeerMessage, encodePeerMessage } from '../../src/membership/PeerCodec.js'
import type { IClockService, IRandomService } from '../../src/common/Services.js'
import type { FailureDomain, IEvent, Milliseconds, NetworkAddress } from '../../src/common/Types.js'
import type { PeerMessage, ReceivedPeerMessage } from '../../src/generated/savoryknot/PeerMessage.js'
import type { IPeerChannel, IPeerTransport } from '../../src/membership/Services.js'

/** Dependencies, latency and timeout of MemoryNetwork. */
export interface IMemoryNetworkOptions {
  readonly clock: IClockService
  readonly random: IRandomService
  /** One-way latency in milliseconds is drawn uniformly from this range. */
  readonly latency: { readonly minimum: number, readonly maximum: number }
  readonly dialTimeout: Milliseconds
}

const MILLISECONDS_PER_SECOND = 1_000

/** Network between the memory transports of all nodes of a test. */
export class MemoryNetwork {
  public readonly transports = new Map<NetworkAddress, MemoryTransport>()
  public readonly paused = new Set<NetworkAddress>()
  public sentBytes = 0
  private readonly _cuts = new Set<string>()

  constructor (public readonly options: IMemoryNetworkOptions) {}

  public createTransport (address: NetworkAddress, failureDomain: FailureDomain): MemoryTransport {
    return new MemoryTransport(this, address, failureDomain)
  }

  /** Drops all messages between two failure domains, without an error on either end. */
  public cut (first: FailureDomain, second: FailureDomain): void {
    this._cuts.add(pairOf(first, second))
  }

  public heal (first: FailureDomain, second: FailureDomain): void {
    this._cuts.delete(pairOf(first, second))
  }

  public healAll (): void {
    this._cuts.clear()
  }

  /** Whether messages between two transports are delivered. */
  public isConnected (first: MemoryTransport, second: MemoryTransport): boolean {
    return !this._cuts.has(pairOf(first.failureDomain, second.failureDomain))
  }

  /** Holds back messages to the node until it resumes and drops those that it sends, to simulate a suspended process. */
  public pause (address: NetworkAddress): void {
    this.paused.add(address)
  }

  public resume (address: NetworkAddress): void {
    this.paused.delete(address)
    this.transports.get(address)?.runDelayedActions()
  }

  public drawLatency (): Milliseconds {
    const { minimum, maximum } = this.options.latency
    return minimum + this.options.random.fraction() * (maximum - minimum) as Milliseconds
  }
}

/** Transport of one node on the memory network. */
export class MemoryTransport implements IPeerTransport {
  public readonly channels = new Set<MemoryChannel>()
  private _accept: ((channel: IPeerChannel) => void) | undefined
  /** Bytes per second that this node can send over all its channels together. */
  public sendRate = Infinity
  private _delayedActions: Array<() => void> = []
  private _sendingEndsAt = 0

  constructor (
    public readonly network: MemoryNetwork,
    public readonly address: NetworkAddress,
    public readonly failureDomain: FailureDomain
  ) {}

  public async listen (accept: (channel: IPeerChannel) => void): Promise<void> {
    this._accept = accept
    this.network.transports.set(this.address, this)
  }

  public async dial (address: NetworkAddress): Promise<IPeerChannel> {
    const { clock, dialTimeout } = this.network.options
    const target = this.network.transports.get(address)
    if (target !== undefined && !this.network.isConnected(this, target)) await clock.sleep(dialTimeout)
    await clock.sleep(this.network.drawLatency())
    const remote = this.network.transports.get(address)
    if (remote?._accept === undefined || !this.network.isConnected(this, remote)) {
      throw new PeerUnreachableError(`no connection to ${address}`, { step: 'transport.dial', peer: address })
    }
    const dialledEnd = new MemoryChannel(this, remote)
    const acceptedEnd = new MemoryChannel(remote, this)
    dialledEnd.other = acceptedEnd
    acceptedEnd.other = dialledEnd
    remote.runOrDelay(() => remote._accept?.(acceptedEnd))
    return dialledEnd
  }

  public async close (): Promise<void> {
    this.network.transports.delete(this.address)
    this._accept = undefined
    for (const channel of [...this.channels]) channel.dispose()
  }

  /** Queues `bytes` behind everything that this node is already sending; returns when the last of them has been sent. */
  public reserveSendTime (bytes: number): number {
    const startsAt = Math.max(this.network.options.clock.now(), this._sendingEndsAt)
    this._sendingEndsAt = startsAt + bytes / this.sendRate * MILLISECONDS_PER_SECOND
    return this._sendingEndsAt
  }

  /** Runs the action immediately, or when the node resumes if it is paused. */
  public runOrDelay (action: () => void): void {
    if (this.network.paused.has(this.address)) this._delayedActions.push(action)
    else action()
  }

  public runDelayedActions (): void {
    const actions = this._delayedActions
    this._delayedActions = []
    for (const action of actions) action()
  }
}

/** One end of a stream. Messages keep their order and pass through the codec. */
export class MemoryChannel implements IPeerChannel {
  public other: MemoryChannel | undefined
  public readonly remoteAddress: NetworkAddress
  public readonly waitingBytes = 0
  private readonly _onMessage = new Emitter<ReceivedPeerMessage>()
  private readonly _onClosed = new Emitter<void>()
  private _isClosed = false
  private _lastArrival = 0

  constructor (private readonly _from: MemoryTransport, private readonly _to: MemoryTransport) {
    this.remoteAddress = _to.address
    _from.channels.add(this)
  }

  public get onMessage (): IEvent<ReceivedPeerMessage> {
    return this._onMessage.event
  }

  public get onClosed (): IEvent<void> {
    return this._onClosed.event
  }

  public send (message: PeerMessage): boolean {
    if (this._isClosed) return false
    const bytes = encodePeerMessage(message)
    this._from.network.sentBytes += bytes.length
    this.sendBytes(bytes)
    return true
  }

  /** Sends bytes that need not be a valid message. */
  public sendBytes (bytes: Buffer): void {
    this._transfer((other) => other._receive(bytes), bytes.length)
  }

  public dispose (): void {
    if (this._isClosed) return
    this._transfer((other) => other._markClosed())
    this._markClosed()
  }

  private _transfer (action: (other: MemoryChannel) => void, bytes = 0): void {
    const { network } = this._from
    if (!network.isConnected(this._from, this._to) || network.paused.has(this._from.address)) return
    const { clock } = network.options
    // Messages arrive in the order in which they were sent, as on a real stream.
    this._lastArrival = Math.max(this._from.reserveSendTime(bytes) + network.drawLatency(), this._lastArrival)
    clock.after(this._lastArrival - clock.now() as Milliseconds, () => {
      const { other } = this
      if (other !== undefined && network.isConnected(this._from, this._to)) this._to.runOrDelay(() => action(other))
    })
  }

  private _receive (bytes: Buffer): void {
    if (this._isClosed) return
    try {
      const message = decodePeerMessage(bytes)
      if (message.kind !== undefined) this._onMessage.fire(message)
    } catch {
      this.dispose()
    }
  }

  private _markClosed (): void {
    if (this._isClosed) return
    this._isClosed = true
    this._from.channels.delete(this)
    this._onClosed.fire()
  }
}

function pairOf (first: FailureDomain, second: FailureDomain): string {
  return first < second ? `${first}|${second}` : `${second}|${first}`
}
