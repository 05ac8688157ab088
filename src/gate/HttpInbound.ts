/** Reads one HTTP request into the parts of a call. */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import type { Readable } from 'node:stream'
import { toDisposable } from '../common/Disposable.js'
import type { IEvent } from '../common/Types.js'
import { readBodyStart } from './KeptBody.js'
import { contentLength, endToEndHeaders } from './HeaderRules.js'

/** Bodies up to this size are read whole before a request is routed. */
export const SMALL_BODY_BYTES = 65_536

/** One request as it came, and whether its sender still waits. */
export class HttpInbound {
  public readonly method: string
  /** Path with query, as it came. */
  public readonly path: string
  /** End-to-end headers only. */
  public readonly headers: IncomingHttpHeaders
  /** Undefined if the request has no body. */
  public readonly body: Readable | undefined
  /** Size of the body from its header; undefined if it is not known. */
  public readonly bodyBytes: number | undefined
  private readonly _response: ServerResponse

  constructor (message: IncomingMessage, response: ServerResponse) {
    this.method = message.method ?? ''
    this.path = message.url ?? ''
    this.headers = endToEndHeaders(message.headers)
    this.bodyBytes = contentLength(message.headers)
    const isChunked = message.headers['transfer-encoding'] !== undefined
    this.body = isChunked || (this.bodyBytes ?? 0) > 0 ? message : undefined
    this._response = response
  }

  /** True if the sender went away before its answer was whole. */
  public get isCancelled (): boolean {
    return this._response.destroyed && !this._response.writableFinished
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

  /** Fires if the sender went away before its answer was whole. */
  public readonly onCancelled: IEvent<void> = (listener) => {
    const notify = (): void => {
      if (!this._response.writableFinished) listener()
    }
    this._response.on('close', notify)
    return toDisposable(() => this._response.off('close', notify))
  }
}
