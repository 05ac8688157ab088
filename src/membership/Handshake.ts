/** The introduction of two nodes on a new channel. */
import { Disposable } from '../common/Disposable.js'
import { JoinRefusedError, PeerProtocolError } from './MembershipErrors.js'
import { fromWireRecord, isNetworkAddress, toWireRecord } from './RecordCodec.js'
import type { IClockService } from '../common/Services.js'
import type { Milliseconds, NetworkAddress } from '../common/Types.js'
import type { PeerMessage, ReceivedPeerMessage } from '../generated/savoryknot/PeerMessage.js'
import type { IPeerChannel } from './Services.js'
import type { INodeRecord } from './Types.js'

/** Version of the protocol; a higher one may add fields and kinds of messages. */
const PROTOCOL_VERSION = 1

/** Addresses taken from a refusal. */
const MAXIMUM_OTHERS = 16

/** What a handshake needs. */
export interface IHandshakeOptions {
  readonly channel: IPeerChannel
  readonly clock: IClockService
  readonly helloTimeout: Milliseconds
  /** Called at once with the other side's record, before its next message is read. */
  readonly onIntroduced: (peer: INodeRecord) => void
  /** Called instead if there is no introduction; the channel is closed. */
  readonly onFailed: (error: Error) => void
}

/** Waits for the first message and calls exactly one of the two functions. */
export class Handshake extends Disposable {
  constructor (private readonly _options: IHandshakeOptions) {
    super()
    const { channel, clock, helloTimeout } = _options
    this.register(channel.onMessage((message) => this._receive(message)))
    this.register(channel.onClosed(() => this._fail('closed before a hello')))
    this.register(clock.after(helloTimeout, () => this._fail('no hello in time')))
  }

  private _receive (message: ReceivedPeerMessage): void {
    if (this.isDisposed) return
    if (message.joinRefusal != null) this._refuse(message.joinRefusal.reason, message.joinRefusal.otherAddresses)
    else this._introduce(message)
  }

  private _introduce (message: ReceivedPeerMessage): void {
    const peer = message.hello?.self == null ? undefined : fromWireRecord(message.hello.self)
    if (peer === undefined) {
      this._fail(`expected a hello, got ${message.kind ?? 'nothing'}`)
      return
    }
    this.dispose()
    this._options.onIntroduced(peer)
  }

  private _refuse (reason: string, others: readonly string[]): void {
    const { channel } = this._options
    const valid: NetworkAddress[] = others.slice(0, MAXIMUM_OTHERS).filter(isNetworkAddress)
    this._end(new JoinRefusedError(reason.slice(0, 100), channel.remoteAddress, valid))
  }

  private _fail (reason: string): void {
    this._end(new PeerProtocolError(reason, { step: 'overlay.hello', peer: this._options.channel.remoteAddress }))
  }

  private _end (error: Error): void {
    if (this.isDisposed) return
    this.dispose()
    this._options.channel.dispose()
    this._options.onFailed(error)
  }
}

/** The introduction of this node. */
export function createHello (self: INodeRecord, isLocal: boolean): PeerMessage {
  return { hello: { protocol: PROTOCOL_VERSION, self: toWireRecord(self), purpose: isLocal ? 'overlay' : 'gateway' } }
}
