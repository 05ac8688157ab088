/** Streams between nodes of one process, with latency, cuts and pauses, for deterministic tests. */
import { Emitter } from '../../src/common/Emitter.js'
import { PeerUnreachableError } from '../../src/membership/MembershipErrors.js'
import { decodePeerMessage, encodePeerMessage } from '../../src/membership/PeerCodec.js'
import type { IClockService, IRandomService } from '../../src/common/Services.js'
import type { FailureDomain, IEvent, Milliseconds, NetworkAddress } from '../../src/common/Types.js'
import type { PeerMessage, ReceivedPeerMessage } from '../../src/generated/savoryknot/PeerMessage.js'
import type { IPeerChannel, IPeerTransport } from '../../src/membership/Services.js'

/** What the network needs. */
export interface IMemoryNetworkOptions {
  readonly clock: IClockService
  readonly random: IRandomService
  /** One-way latency is drawn evenly from this range. */
  readonly latency: { readonly least: number, readonly most: number }
  readonly dialTimeout: Milliseconds
}

const MILLISECONDS_PER_SECOND = 1_000

/** Joins the memory transports of all nodes of a test. */
export class MemoryNetwork {
  public readonly transports = new Map<NetworkAddress, MemoryTransport>()
  public readonly paused = new Set<NetworkAddress>()
  public sentBytes = 0
  private readonly _cuts = new Set<string>()

  constructor (public readonly options: IMemoryNetworkOptions) {}

  public createTransport (address: NetworkAddress, failureDomain: FailureDomain): MemoryTransport {
    return new MemoryTransport(this, address, failureDomain)
  }

  /** Loses everything between two failure domains; nobody is told. */
  public cut (first: FailureDomain, second: FailureDomain): void {
    this._cuts.add(pairOf(first, second))
  }

  public heal (first: FailureDomain, second: FailureDomain): void {
    this._cuts.delete(pairOf(first, second))
  }

  public healAll (): void {
    this._cuts.clear()
  }

  /** Whether a message between two transports arrives. */
  public isOpen (first: MemoryTransport, second: MemoryTransport): boolean {
    return !this._cuts.has(pairOf(first.failureDomain, second.failureDomain))
  }

  /** Messages to and from the node wait until it resumes, as with a stopped process. */
  public pause (address: NetworkAddress): void {
    this.paused.add(address)
  }

  public resume (address: NetworkAddress): void {
    this.paused.delete(address)
    this.transports.get(address)?.deliverHeld()
  }

  public drawLatency (): Milliseconds {
    const { least, most } = this.options.latency
    return least + this.options.random.fraction() * (most - least) as Milliseconds
  }
}

/** One node's end of the memory network. */
export class MemoryTransport implements IPeerTransport {
  public readonly channels = new Set<MemoryChannel>()
  private _accept: ((channel: IPeerChannel) => void) | undefined
  /** Bytes a second that this node can send, over all its channels together. */
  public sendRate = Infinity
  private _held: Array<() => void> = []
  private _sendingUntil = 0

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
    if (target !== undefined && !this.network.isOpen(this, target)) await clock.sleep(dialTimeout)
    await clock.sleep(this.network.drawLatency())
    const remote = this.network.transports.get(address)
    if (remote?._accept === undefined || !this.network.isOpen(this, remote)) {
      throw new PeerUnreachableError(`no connection to ${address}`, { step: 'transport.dial', peer: address })
    }
    const near = new MemoryChannel(this, remote)
    const far = new MemoryChannel(remote, this)
    near.other = far
    far.other = near
    remote.run(() => remote._accept?.(far))
    return near
  }

  public async close (): Promise<void> {
    this.network.transports.delete(this.address)
    this._accept = undefined
    for (const channel of [...this.channels]) channel.dispose()
  }

  /** Time at which the last of `bytes` has left this node, behind everything that it sends before. */
  public reserve (bytes: number): number {
    const startsAt = Math.max(this.network.options.clock.now(), this._sendingUntil)
    this._sendingUntil = startsAt + bytes / this.sendRate * MILLISECONDS_PER_SECOND
    return this._sendingUntil
  }

  /** Runs at once, or when the node resumes. */
  public run (action: () => void): void {
    if (this.network.paused.has(this.address)) this._held.push(action)
    else action()
  }

  public deliverHeld (): void {
    const held = this._held
    this._held = []
    for (const action of held) action()
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

  /** Sends what need not be a message. */
  public sendBytes (bytes: Buffer): void {
    this._transfer((other) => other._receive(bytes), bytes.length)
  }

  public dispose (): void {
    if (this._isClosed) return
    this._transfer((other) => other._end())
    this._end()
  }

  private _transfer (action: (other: MemoryChannel) => void, bytes = 0): void {
    const { network } = this._from
    if (!network.isOpen(this._from, this._to) || network.paused.has(this._from.address)) return
    const { clock } = network.options
    // Arrivals keep the order of sending, as on a stream.
    this._lastArrival = Math.max(this._from.reserve(bytes) + network.drawLatency(), this._lastArrival)
    clock.after(this._lastArrival - clock.now() as Milliseconds, () => {
      const { other } = this
      if (other !== undefined && network.isOpen(this._from, this._to)) this._to.run(() => action(other))
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

  private _end (): void {
    if (this._isClosed) return
    this._isClosed = true
    this._from.channels.delete(this)
    this._onClosed.fire()
  }
}

function pairOf (first: FailureDomain, second: FailureDomain): string {
  return first < second ? `${first}|${second}` : `${second}|${first}`
}
