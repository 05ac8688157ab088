/** One request and its response on one connection to an upstream. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Readable } from 'node:stream'
import type { Dispatcher } from 'undici'
import { ByteCollector } from '../common/ByteCollector.js'
import type { IClockService } from '../common/Services.js'
import type { IDisposable, Milliseconds } from '../common/Types.js'
import { ExchangeAbortedError, StartRefusedError } from './GateErrors.js'
import { contentLength, fieldsOf, hasUnsupportedTransferCoding } from './HeaderRules.js'
import { BodyRelay } from './BodyRelay.js'
import { FINGERPRINT_BODY_BYTES } from './BodyStart.js'
import { HEADER, type IAnswerSink, type ICall, type NotRunReason } from './Types.js'
import type { UpstreamConnection } from './UpstreamConnections.js'

/** Result of an exchange. */
export type ExchangeEnd =
  | { readonly kind: 'whole', readonly status: number }
  /** No byte was sent. `isStale`: the connection had been closed while it was idle; the request may be sent on another one. */
  | { readonly kind: 'not-started', readonly reason: NotRunReason, readonly isStale: boolean }
  /** Bytes were sent, but there is no complete response. */
  | { readonly kind: 'cut', readonly reason: string, readonly isByUpstream: boolean }

/** Options of `UpstreamExchange`. */
export interface IUpstreamExchangeOptions {
  readonly call: ICall
  readonly sink: IAnswerSink
  /** Body of the call as a stream, or as a buffer if it has already been read. */
  readonly body: Readable | Buffer | undefined
  /** Largest request body in bytes. */
  readonly requestBytes: number
  /** Largest response body in bytes. */
  readonly responseBytes: number
  readonly clock: IClockService
  /** Called immediately before the first byte is sent; a returned reason prevents the start. */
  readonly onStarting: () => NotRunReason | undefined
}

/** Forwards one request to an upstream and streams the response back, with backpressure. */
export class UpstreamExchange implements Dispatcher.DispatchHandler {
  public readonly call: ICall
  private readonly _options: IUpstreamExchangeOptions
  private readonly _streamedStart = new ByteCollector()
  private readonly _subscriptions: IDisposable[] = []
  /** Stream from which the client reads a streamed body. When the client destroys it, the connection of the caller stays open. */
  private readonly _bodyRelay: BodyRelay | undefined
  private _sentBytes = 0
  private _controller: Dispatcher.DispatchController | undefined
  private _resolve: ((end: ExchangeEnd) => void) | undefined
  private _abortReason: string | undefined
  private _status = 0
  private _receivedBytes = 0

  constructor (options: IUpstreamExchangeOptions) {
    this.call = options.call
    this._options = options
    if (options.body === undefined || Buffer.isBuffer(options.body)) return
    this._bodyRelay = new BodyRelay(options.body, { onChunk: (chunk) => this._recordStreamed(chunk) })
    this._bodyRelay.on('error', ignore)
  }

  /** True once the first byte may have been sent. */
  public get isStarted (): boolean {
    return this._controller !== undefined
  }

  /** Start of the body that was sent, at least as much of it as the fingerprint of the request covers. */
  public get bodyStart (): Buffer {
    const { body } = this._options
    return Buffer.isBuffer(body) ? body : this._streamedStart.content()
  }

  /** Runs the exchange. Never rejects. */
  public run (connection: UpstreamConnection): Promise<ExchangeEnd> {
    const { call } = this._options
    const body = this._bodyRelay ?? this._options.body as Buffer | undefined ?? null
    return new Promise((resolve) => {
      this._resolve = resolve
      try {
        connection.client.dispatch({ path: call.path, method: call.method, headers: this._requestFields(), body }, this)
      } catch {
        this._finish({ kind: 'not-started', reason: 'malformed', isStale: false })
      }
    })
  }

  /** Aborts the exchange and closes its connection, which cancels the request at the upstream. */
  public abort (reason: string): void {
    this._abortReason ??= reason
    this._controller?.abort(new ExchangeAbortedError(reason, { step: 'gate.exchange' }))
  }

  public onRequestStart (controller: Dispatcher.DispatchController): void {
    const refusal = this._options.onStarting()
    if (refusal !== undefined) throw new StartRefusedError(refusal)
    this._controller = controller
    const { call, clock } = this._options
    const remaining = call.deadlineAt - clock.now() as Milliseconds
    this._subscriptions.push(clock.after(remaining, () => { this.abort('deadline') }))
    this._subscriptions.push(call.onCancelled(() => { this.abort('cancelled') }))
    if (Buffer.isBuffer(this._options.body)) this._recordSent(this._options.body.byteLength)
  }

  public onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    if (status < 200) return
    this._status = status
    const fault = this._findHeadFault(status, headers)
    if (fault === undefined) this._options.sink.begin(status, headers)
    else this.abort(fault)
  }

  public onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._receivedBytes += chunk.byteLength
    if (this._receivedBytes > this._options.responseBytes) {
      this.abort('answer-too-large')
      return
    }
    if (this._options.sink.write(chunk)) return
    controller.pause()
    const subscription = this._options.sink.onDrained(() => {
      subscription.dispose()
      controller.resume()
    })
  }

  public onResponseEnd (): void {
    this._options.sink.end()
    this._finish({ kind: 'whole', status: this._status })
  }

  public onResponseError (_controller: Dispatcher.DispatchController | undefined, error: Error): void {
    if (!this.isStarted) {
      const reason = error instanceof StartRefusedError ? error.reason : 'unreachable'
      this._finish({ kind: 'not-started', reason, isStale: reason === 'unreachable' })
      return
    }
    if (this._options.sink.hasBegun) this._options.sink.abort()
    const reason = this._abortReason ?? (this._isCallerDisconnected ? 'cancelled' : clientErrorReason(error))
    this._finish({ kind: 'cut', reason, isByUpstream: this._abortReason === undefined && !this._isCallerDisconnected })
  }

  private get _isCallerDisconnected (): boolean {
    const { body, call } = this._options
    return call.isCancelled || (body !== undefined && !Buffer.isBuffer(body) && body.destroyed && !body.readableEnded)
  }

  private _recordStreamed (chunk: Uint8Array): void {
    const missing = FINGERPRINT_BODY_BYTES - this._streamedStart.byteLength
    if (missing > 0) this._streamedStart.append(chunk.subarray(0, missing))
    this._recordSent(chunk.byteLength)
  }

  private _recordSent (bytes: number): void {
    this._sentBytes += bytes
    if (this._sentBytes > this._options.requestBytes) this.abort('request-too-large')
  }

  private _finish (end: ExchangeEnd): void {
    for (const subscription of this._subscriptions) subscription.dispose()
    this._resolve?.(end)
    this._resolve = undefined
  }

  /** Alternating header names and values; the fields of the mesh replace fields of the same name from the caller. */
  private _requestFields (): string[] {
    const { call, clock } = this._options
    const remaining = Math.max(1, Math.floor(call.deadlineAt - clock.now()))
    const meshFields = [HEADER.deadline, String(remaining), HEADER.requestId, call.requestId, HEADER.depth, String(call.depth + 1)]
    return [...meshFields, ...fieldsOf(call.headers, (name) => !isReplacedField(name))]
  }

  private _findHeadFault (status: number, headers: IncomingHttpHeaders): string | undefined {
    const echoed = headers[HEADER.requestId]
    if (echoed !== undefined && echoed !== this.call.requestId) return 'answer-crossed'
    if (this.call.method === 'HEAD' || status === 204 || status === 304) return undefined
    const length = contentLength(headers)
    if (length !== undefined) return length > this._options.responseBytes ? 'answer-too-large' : undefined
    // A response delimited only by the close of its connection cannot be distinguished from a truncated one.
    return headers['transfer-encoding'] === undefined || hasUnsupportedTransferCoding(headers) ? 'answer-without-length' : undefined
  }
}

/** Returns whether the gate writes this header field itself or does not forward it to upstreams. */
function isReplacedField (name: string): boolean {
  if (!name.startsWith('savoryknot-')) return false
  return name === HEADER.deadline || name === HEADER.requestId || name === HEADER.depth || name === HEADER.route || name === HEADER.version
}

/** Outcome reason for an error of the HTTP client. */
function clientErrorReason (error: Error): string {
  const code = (error as NodeJS.ErrnoException).code
  if (code === 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH') return 'answer-truncated'
  if (code === 'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH') return 'request-truncated'
  if (code?.startsWith('HPE_') === true || code === 'UND_ERR_HEADERS_OVERFLOW') return 'answer-malformed'
  return 'connection-lost'
}

function ignore (): void {}
