/** Reads one HTTP request into the parts of a call. */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Readable } from 'node:stream'
import { CancellationSource, type ICancellation } from '../common/Cancellation.js'
import type { IEvent } from '../common/Types.js'
import { readBodyStart } from './KeptBody.js'
import { contentLength, endToEndHeaders } from './HeaderRules.js'

/** Bodies up to this size are read whole before a request is routed. */
export const SMALL_BODY_BYTES = 65_536

/** The end of each connection; one subscription to it, however many requests the connection carries. */
const connectionEnds = new WeakMap<Socket, CancellationSource>()

/** One request as it came, and whether its sender still waits. */
export class HttpInbound implements ICancellation {
  public readonly method: string
  /** Path with query, as it came. */
  public readonly path: string
  /** End-to-end headers only. */
  public readonly headers: IncomingHttpHeaders
  /** Undefined if the request has no body. */
  public readonly body: Readable | undefined
  /** Size of the body from its header; undefined if it is not known. */
  public readonly bodyBytes: number | undefined
  private readonly _cancellation = new CancellationSource()

  constructor (private readonly _message: IncomingMessage, private readonly _response: ServerResponse) {
    this.method = _message.method ?? ''
    this.path = _message.url ?? ''
    this.headers = endToEndHeaders(_message.headers)
    this.bodyBytes = contentLength(_message.headers)
    const isChunked = _message.headers['transfer-encoding'] !== undefined
    this.body = isChunked || (this.bodyBytes ?? 0) > 0 ? _message : undefined
    if (_response.destroyed) {
      this._noteClosed()
      return
    }
    // An answer that waits behind another one of its connection has no connection yet, whose end it could tell.
    const ended = endOf(_message.socket).onCancelled(() => this._noteClosed())
    _response.once('close', () => {
      ended.dispose()
      this._noteClosed()
    })
  }

  /** True if the sender went away before its answer was whole; known as soon as the end of its connection was read. */
  public get isCancelled (): boolean {
    return this._cancellation.isCancelled || (this._message.socket.readableEnded && !this._response.writableFinished)
  }

  /** Fires if the sender went away before its answer was whole. */
  public get onCancelled (): IEvent<void> {
    return this._cancellation.onCancelled
  }

  /**
   * Reads a body of at most `limit` bytes whole, so that a slow or broken sender never holds a slot and the
   * request can be sent again. Undefined if there is no body or it is longer; `body` then still gives all of it.
   * Rejects if the sender goes away.
   */
  public async readSmallBody (limit: number = SMALL_BODY_BYTES): Promise<Buffer | undefined> {
    if (this.body === undefined || (this.bodyBytes ?? 0) > limit) return undefined
    const start = await readBodyStart(this.body, limit)
    return start.isWhole ? start.content : undefined
  }

  private _noteClosed (): void {
    if (!this._response.writableFinished) this._cancellation.cancel()
  }
}

function endOf (socket: Socket): ICancellation {
  const known = connectionEnds.get(socket)
  if (known !== undefined) return known
  const end = new CancellationSource()
  socket.once('end', () => end.cancel())
  socket.once('close', () => end.cancel())
  connectionEnds.set(socket, end)
  return end
}
