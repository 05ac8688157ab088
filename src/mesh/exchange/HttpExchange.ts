/** One request and its whole answer on a connection that carries nothing else meanwhile. */
import type { IncomingHttpHeaders } from 'node:http'
import { errors, type Dispatcher } from 'undici'
import { hasDelimitedBody } from '../../gate/HeaderRules.js'
import type { UpstreamConnection } from '../../gate/UpstreamConnections.js'
import type { AnswerMemory, IPartialAnswer } from './AnswerMemory.js'

/** The request. */
export interface IExchangeRequest {
  readonly method: string
  readonly path: string
  /** Names and values in turn, without the length of the body. */
  readonly fields: readonly string[]
  readonly body: Buffer | undefined
  /** Asked right before the first byte is sent; false ends the exchange as not sent. */
  readonly mayStart?: () => boolean
  /** Shared with other exchanges whose answers may go on without end. */
  readonly memory?: AnswerMemory
}

/** How an exchange ended. */
export type ExchangeEnd =
  | {
    readonly kind: 'answer'
    readonly status: number
    readonly headers: IncomingHttpHeaders
    readonly body: Buffer
    /** False if the answer ended with its connection, so that nothing but the other side's life tells whether it is whole. */
    readonly hasLength: boolean
  }
  /** Not a byte of the request was sent. */
  | { readonly kind: 'not-sent', readonly reason: string }
  /** The request was sent, at least in part, and its answer is lost. */
  | { readonly kind: 'broken', readonly reason: string }

/** Largest body of a request or an answer; both are held whole in memory. An answer above it breaks its exchange. */
export const MAXIMUM_BODY_BYTES = 16_777_216
/** Answers before the final one, above which an exchange is broken. */
const MAXIMUM_INTERIM_ANSWERS = 16
const FIRST_FINAL_STATUS = 200
const NOT_MODIFIED = 304
/** Answers that have no body by their status. */
export const BODILESS_STATUSES: readonly number[] = [204, 304]

/** Collects the answer, so that a part of one is never passed on. */
export class HttpExchange implements Dispatcher.DispatchHandler, IPartialAnswer {
  private _chunks: Buffer[] = []
  private _controller: Dispatcher.DispatchController | undefined
  private _resolve: ((end: ExchangeEnd) => void) | undefined
  private _connection: UpstreamConnection | undefined
  private _status = 0
  private _headers: IncomingHttpHeaders = {}
  private _bytes = 0
  private _interimAnswers = 0
  private _abortReason: string | undefined

  constructor (private readonly _request: IExchangeRequest) {}

  /** True once the first byte may have been sent. */
  public get isSent (): boolean {
    return this._controller !== undefined
  }

  /** Bytes of the answer that are held. */
  public get bytes (): number {
    return this._bytes
  }

  /** Runs the exchange. Never rejects. */
  public run (connection: UpstreamConnection): Promise<ExchangeEnd> {
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

  /** Ends the exchange and closes its connection, which cancels the request on the other side. */
  public abort (reason: string): void {
    if (this._abortReason !== undefined) return
    this._abortReason = reason
    this._chunks = []
    this._bytes = 0
    this._controller?.abort(new Error(reason))
  }

  public onRequestStart (controller: Dispatcher.DispatchController): void {
    // The client may start a request again after its connection closed; it must not be sent twice.
    if (this._controller !== undefined || this._abortReason !== undefined || this._request.mayStart?.() === false) {
      this._abortReason ??= 'not to be sent'
      controller.abort(new Error(this._abortReason))
      return
    }
    this._controller = controller
  }

  public onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    if (status < FIRST_FINAL_STATUS) return this._noteInterimAnswer()
    this._status = status
    this._headers = headers
  }

  public onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this._abortReason !== undefined) return
    this._bytes += chunk.byteLength
    this._chunks.push(chunk)
    if (this._bytes > MAXIMUM_BODY_BYTES) this.abort('answer too large')
    else this._request.memory?.noteGrowth(this)
  }

  public onResponseEnd (): void {
    const hasLength = hasDelimitedBody(this._headers) || this._request.method === 'HEAD' || BODILESS_STATUSES.includes(this._status)
    if (!hasLength && this._connection?.hasFailed === true) return this._finish({ kind: 'broken', reason: 'answer without length was cut' })
    this._finish({ kind: 'answer', status: this._status, headers: this._headers, body: Buffer.concat(this._chunks), hasLength })
  }

  public onResponseError (_controller: Dispatcher.DispatchController | undefined, error: Error): void {
    // The client misses the bytes of a length that only tells the size of the body that the caller has already.
    const isWhole = this._status === NOT_MODIFIED && error instanceof errors.ResponseContentLengthMismatchError
    if (isWhole && this._abortReason === undefined) return this.onResponseEnd()
    const reason = this._abortReason ?? error.message
    this._finish(this.isSent ? { kind: 'broken', reason } : { kind: 'not-sent', reason })
  }

  private _noteInterimAnswer (): void {
    this._interimAnswers++
    if (this._interimAnswers > MAXIMUM_INTERIM_ANSWERS) this.abort('answers before the final one without end')
  }

  private _finish (end: ExchangeEnd): void {
    this._request.memory?.release(this)
    this._resolve?.(end)
    this._resolve = undefined
  }
}
