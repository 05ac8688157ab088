/** One HTTP request and its complete response on a connection that is used exclusively. */
import type { IncomingHttpHeaders } from 'node:http'
import { errors, type Dispatcher } from 'undici'
import { ByteCollector } from '../../common/ByteCollector.js'
import { hasDelimitedBody } from '../../gate/HeaderRules.js'
import type { UpstreamConnection } from '../../gate/UpstreamConnections.js'
import type { ResponseBufferBudget, IBufferedResponse } from './ResponseBufferBudget.js'

/** The request of an exchange. */
export interface IExchangeRequest {
  readonly method: string
  readonly path: string
  /** Header fields as alternating names and values, without `content-length`. */
  readonly fields: readonly string[]
  readonly body: Buffer | undefined
  /** Called right before the first byte is sent; if it returns false, the exchange finishes as not sent. */
  readonly shouldStart?: () => boolean
  /** Memory limit shared with other exchanges, since responses may be endless. */
  readonly bufferBudget?: ResponseBufferBudget
  /** Maximum size of the response body in bytes; default `MAXIMUM_BODY_BYTES`. */
  readonly maximumResponseBytes?: number
}

/** Result of an exchange. */
export type ExchangeResult =
  | {
    readonly kind: 'answer'
    readonly status: number
    readonly headers: IncomingHttpHeaders
    readonly body: Buffer
    /** False if the close of the connection delimited the body, so that a truncated body cannot be distinguished from a complete one. */
    readonly hasLength: boolean
  }
  /** No byte of the request was sent. */
  | { readonly kind: 'not-sent', readonly reason: string }
  /** The request was sent, at least in part, and its response is lost. */
  | { readonly kind: 'broken', readonly reason: string }

/** Default maximum size of a response body, in bytes; responses are buffered completely. A larger response breaks its exchange. */
export const MAXIMUM_BODY_BYTES = 16_777_216
/** Maximum number of interim (1xx) responses; more of them break the exchange. */
const MAXIMUM_INTERIM_RESPONSES = 16
const FIRST_FINAL_STATUS = 200
const NOT_MODIFIED = 304
/** Statuses of responses that never have a body. */
export const BODILESS_STATUSES: readonly number[] = [204, 304]

/** Buffers the complete response, so that a partial response is never forwarded. */
export class HttpExchange implements Dispatcher.DispatchHandler, IBufferedResponse {
  private readonly _body = new ByteCollector()
  private _controller: Dispatcher.DispatchController | undefined
  private _resolve: ((end: ExchangeResult) => void) | undefined
  private _connection: UpstreamConnection | undefined
  private _status = 0
  private _headers: IncomingHttpHeaders = {}
  private _interimResponses = 0
  private _abortReason: string | undefined

  constructor (private readonly _request: IExchangeRequest) {}

  /** True once the first byte may have been sent. */
  public get isSent (): boolean {
    return this._controller !== undefined
  }

  /** True once this process has aborted the exchange, so that its end shows nothing about the other side. */
  public get isAborted (): boolean {
    return this._abortReason !== undefined
  }

  /** Memory of the buffered part of the response body, in bytes. */
  public get bytes (): number {
    return this._body.reservedBytes
  }

  /** Runs the exchange. Never rejects. */
  public run (connection: UpstreamConnection): Promise<ExchangeResult> {
    const { method, path, fields, body } = this._request
    return new Promise((resolve) => {
      this._resolve = resolve
      this._connection = connection
      if (this._abortReason !== undefined) return this._finish({ kind: 'not-sent', reason: this._abortReason })
      try {
        connection.client.dispatch({ path, method: method as Dispatcher.HttpMethod, headers: [...fields], body: body ?? null }, this)
      } catch (error) {
        this._finish({ kind: 'not-sent', reason: String(error) })
      }
    })
  }

  /** Aborts the exchange and closes its connection, which cancels the request on the other side. */
  public abort (reason: string): void {
    if (this._abortReason !== undefined) return
    this._abortReason = reason
    this._body.clear()
    this._controller?.abort(new Error(reason))
  }

  public onRequestStart (controller: Dispatcher.DispatchController): void {
    // undici may start a request again after its connection closed; the request must not be sent twice.
    if (this._controller !== undefined || this._abortReason !== undefined || this._request.shouldStart?.() === false) {
      this._abortReason ??= 'not to be sent'
      controller.abort(new Error(this._abortReason))
      return
    }
    this._controller = controller
  }

  public onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    if (status < FIRST_FINAL_STATUS) return this._recordInterimResponse()
    this._status = status
    this._headers = headers
  }

  public onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this._abortReason !== undefined) return
    this._body.append(chunk)
    if (this._body.byteLength > (this._request.maximumResponseBytes ?? MAXIMUM_BODY_BYTES)) this.abort('answer too large')
    else this._request.bufferBudget?.recordGrowth(this)
  }

  public onResponseEnd (): void {
    const hasLength = hasDelimitedBody(this._headers) || this._request.method === 'HEAD' || BODILESS_STATUSES.includes(this._status)
    if (!hasLength && this._connection?.hasFailed === true) return this._finish({ kind: 'broken', reason: 'answer without length was cut' })
    this._finish({ kind: 'answer', status: this._status, headers: this._headers, body: this._body.content(), hasLength })
  }

  public onResponseError (_controller: Dispatcher.DispatchController | undefined, error: Error): void {
    // In a 304, content-length states the size of the body that the caller has cached. undici reports the absent bytes as an error.
    const isComplete = this._status === NOT_MODIFIED && error instanceof errors.ResponseContentLengthMismatchError
    if (isComplete && this._abortReason === undefined) return this.onResponseEnd()
    const reason = this._abortReason ?? error.message
    this._finish(this.isSent ? { kind: 'broken', reason } : { kind: 'not-sent', reason })
  }

  private _recordInterimResponse (): void {
    this._interimResponses++
    if (this._interimResponses > MAXIMUM_INTERIM_RESPONSES) this.abort('answers before the final one without end')
  }

  private _finish (end: ExchangeResult): void {
    this._request.bufferBudget?.release(this)
    this._resolve?.(end)
    this._resolve = undefined
  }
}
