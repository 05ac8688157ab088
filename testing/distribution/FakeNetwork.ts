/** Stand-in for the links of the overlay; the test delivers, drops or duplicates each message. */
import { Emitter } from '../../src/common/Emitter.js'
import { decodePeerMessage, encodePeerMessage } from '../../src/membership/PeerCodec.js'
import type { PeerMessage, ReceivedPeerMessage } from '../../src/generated/savoryknot/PeerMessage.js'
import type { IOverlayService, IPeerLink } from '../../src/membership/Services.js'
import type { INodeRecord } from '../../src/membership/Types.js'

/** Message in flight. */
interface IPendingMessage {
  readonly to: FakeLink
  readonly bytes: Buffer
}

/** Keeps every message until the test delivers or drops it. */
export class FakeNetwork {
  public readonly pending: IPendingMessage[] = []
  /** Number of sent messages by kind. */
  public readonly sent = new Map<string, number>()

  /** Connects two nodes by opening one link at each overlay. */
  public connect (left: FakeOverlay, right: FakeOverlay): FakeLink {
    const isLocal = left.self.failureDomain === right.self.failureDomain
    const leftLink = new FakeLink(this, right.self, isLocal)
    const rightLink = new FakeLink(this, left.self, isLocal)
    leftLink.other = rightLink
    rightLink.other = leftLink
    left.open(leftLink)
    right.open(rightLink)
    return leftLink
  }

  public push (to: FakeLink, message: PeerMessage): void {
    for (const kind of Object.keys(message)) this.sent.set(kind, (this.sent.get(kind) ?? 0) + 1)
    this.pending.push({ to, bytes: encodePeerMessage(message) })
  }

  /** Delivers the message at `position`, so that messages can be reordered. */
  public deliver (position: number): void {
    const [message] = this.pending.splice(position, 1)
    message?.to.receive(decodePeerMessage(message.bytes))
  }

  public drop (position: number): void {
    this.pending.splice(position, 1)
  }

  /** Duplicates the message at `position`; the duplicate is queued last. */
  public repeat (position: number): void {
    const message = this.pending[position]
    if (message !== undefined) this.pending.push(message)
  }

  public deliverAll (): void {
    while (this.pending.length > 0) this.deliver(0)
  }
}

/** One side of a fake link. */
export class FakeLink implements IPeerLink {
  public other: FakeLink | undefined
  private readonly _onMessage = new Emitter<ReceivedPeerMessage>()
  private readonly _onClosed = new Emitter<void>()
  private _isOpen = true

  constructor (private readonly _network: FakeNetwork, public readonly peer: INodeRecord, public readonly isLocal: boolean) {}

  public get onMessage (): IPeerLink['onMessage'] { return this._onMessage.event }
  public get onClosed (): IPeerLink['onClosed'] { return this._onClosed.event }

  public send (message: PeerMessage): boolean {
    if (!this._isOpen || this.other === undefined) return false
    this._network.push(this.other, message)
    return true
  }

  public receive (message: ReceivedPeerMessage): void {
    if (this._isOpen) this._onMessage.fire(message)
  }

  /** Closes both sides. */
  public close (): void {
    if (!this._isOpen) return
    this._isOpen = false
    this.other?.close()
    this._onClosed.fire()
  }
}

/** The links of one node. */
export class FakeOverlay implements IOverlayService {
  public links: readonly FakeLink[] = []
  private readonly _onLinkOpened = new Emitter<IPeerLink>()

  constructor (public readonly self: INodeRecord) {}

  public get onLinkOpened (): IOverlayService['onLinkOpened'] { return this._onLinkOpened.event }

  public open (link: FakeLink): void {
    this.links = [...this.links, link]
    link.onClosed(() => { this.links = this.links.filter((candidate) => candidate !== link) })
    this._onLinkOpened.fire(link)
  }
}
