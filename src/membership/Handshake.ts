/** Exchange of hellos on a new channel. */
import { Disposable } from '../common/Disposable.js'
import { JoinRefusedError, PeerProtocolError } from './MembershipErrors.js'
import { fromWireRecord, isNetworkAddress, toWireRecord } from './RecordCodec.js'
import type { IClockService } from '../common/Services.js'
import type { Milliseconds, NetworkAddress } from '../common/Types.js'
import type { PeerMessage, ReceivedPeerMessage } from '../generated/savoryknot/PeerMessage.js'
import type { IPeerChannel } from './Services.js'
import type { INodeRecord } from './Types.js'

/** Version of the protocol; a higher version may add fields and kinds of messages. */
const PROTOCOL_VERSION = 1

/** Maximum number of addresses read from a join refusal. */
const MAXIMUM_OTHER_ADDRESSES = 16

/** Dependencies, timeout and callbacks of Handshake. */
export interface IHandshakeOptions {
  readonly channel: IPeerChannel
  readonly clock: IClockService
  readonly helloTimeout: Milliseconds
  /** Called synchronously with the peer's record, before the next message of the peer is processed. */
  readonly onHelloReceived: (peer: INodeRecord) => void
  /** Called instead of `onHelloReceived` if no valid hello was received, after the channel was closed. */
  readonly onFailed: (error: Error) => void
}

/** Waits for the first message of the peer and calls exactly one of the two callbacks, unless it is disposed before. */
export class Handshake extends Disposable {
  constructor (private readonly _options: IHandshakeOptions) {
    super()
    const { channel, clock, helloTimeout } = _options
    this.register(channel.onMessage((message) => this._receive(message)))
    this.register(channel.onClosed(() => this._fail('channel closed before a hello')))
    this.register(clock.after(helloTimeout, () => this._fail('no hello before the timeout')))
  }

  private _receive (message: ReceivedPeerMessage): void {
    if (this.isDisposed) return
    if (message.joinRefusal != null) this._handleRefusal(message.joinRefusal.reason, message.joinRefusal.otherAddresses)
    else this._handleHello(message)
  }

  private _handleHello (message: ReceivedPeerMessage): void {
    const peer = message.hello?.self == null ? undefined : fromWireRecord(message.hello.self)
    if (peer === undefined) {
      this._fail(`expected a hello, got ${message.kind ?? 'nothing'}`)
      return
    }
    this.dispose()
    this._options.onHelloReceived(peer)
  }

  private _handleRefusal (reason: string, others: readonly string[]): void {
    const { channel } = this._options
    const valid: NetworkAddress[] = others.slice(0, MAXIMUM_OTHER_ADDRESSES).filter(isNetworkAddress)
    this._finishWithError(new JoinRefusedError(reason.slice(0, 100), channel.remoteAddress, valid))
  }

  private _fail (reason: string): void {
    this._finishWithError(new PeerProtocolError(reason, { step: 'overlay.hello', peer: this._options.channel.remoteAddress }))
  }

  private _finishWithError (error: Error): void {
    if (this.isDisposed) return
    this.dispose()
    this._options.channel.dispose()
    this._options.onFailed(error)
  }
}

/** Creates the hello of this node. */
export function createHello (self: INodeRecord, isLocal: boolean): PeerMessage {
  return { hello: { protocol: PROTOCOL_VERSION, self: toWireRecord(self), purpose: isLocal ? 'overlay' : 'gateway' } }
}
