/** Parses an incoming HTTP request into the parts of a call. */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Readable } from 'node:stream'
import { CancellationSource, type ICancellation } from '../common/Cancellation.js'
import type { IEvent } from '../common/Types.js'
import { readBodyStart } from './BodyStart.js'
import { contentLength, endToEndHeaders } from './HeaderRules.js'

/** Bodies up to this size are read completely before a request is routed. */
export const SMALL_BODY_BYTES = 65_536

/** Cancellation source of each connection, cancelled when the connection ends; the requests of a connection share one listener. */
const connectionEnds = new WeakMap<Socket, CancellationSource>()

/** One incoming request; cancelled when its sender disconnects before the response is complete. */
export class HttpInbound implements ICancellation {
  public readonly method: string
  /** Path with query, as received. */
  public readonly path: string
  /** End-to-end headers only. */
  public readonly headers: IncomingHttpHeaders
  /** All fields as received, as alternating names and values. */
  public readonly receivedFields: readonly string[]
  /** Undefined if the request has no body. */
  public readonly body: Readable | undefined
  /** Size of the body from `content-length`; undefined if unknown. */
  public readonly bodyBytes: number | undefined
  private readonly _cancellation = new CancellationSource()

  constructor (private readonly _message: IncomingMessage, private readonly _response: ServerResponse) {
    this.method = _message.method ?? ''
    this.path = _message.url ?? ''
    this.headers = endToEndHeaders(_message.headers)
    this.receivedFields = _message.rawHeaders
    this.bodyBytes = contentLength(_message.headers)
    const isChunked = _message.headers['transfer-encoding'] !== undefined
    this.body = isChunked || (this.bodyBytes ?? 0) > 0 ? _message : undefined
    if (_response.destroyed) {
      this._cancelIfIncomplete()
      return
    }
    // A pipelined response that is queued behind another one has no socket yet and emits no `close`; the socket of the request does.
    const endSubscription = connectionEndOf(_message.socket).onCancelled(() => this._cancelIfIncomplete())
    _response.once('close', () => {
      endSubscription.dispose()
      this._cancelIfIncomplete()
    })
  }

  /** True if the sender disconnected before its response was complete; known as soon as the end of its connection has been read. */
  public get isCancelled (): boolean {
    return this._cancellation.isCancelled || (this._message.socket.readableEnded && !this._response.writableFinished)
  }

  /** Fires if the sender disconnected before its response was complete. */
  public get onCancelled (): IEvent<void> {
    return this._cancellation.onCancelled
  }

  /**
   * Reads a body of at most `limit` bytes completely, so that a slow or failing sender never occupies a slot and the
   * request can be retried. Undefined if there is no body or it is longer; `body` then still provides all of it.
   * Rejects if the sender disconnects.
   */
  public async readSmallBody (limit: number = SMALL_BODY_BYTES): Promise<Buffer | undefined> {
    if (this.body === undefined || (this.bodyBytes ?? 0) > limit) return undefined
    const bodyStart = await readBodyStart(this.body, limit)
    return bodyStart.isWhole ? bodyStart.content : undefined
  }

  private _cancelIfIncomplete (): void {
    if (!this._response.writableFinished) this._cancellation.cancel()
  }
}

function connectionEndOf (socket: Socket): ICancellation {
  const known = connectionEnds.get(socket)
  if (known !== undefined) return known
  const end = new CancellationSource()
  socket.once('end', () => end.cancel())
  socket.once('close', () => end.cancel())
  connectionEnds.set(socket, end)
  return end
}
