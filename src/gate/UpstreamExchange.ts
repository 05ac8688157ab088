/** One request and its answer on one connection to an upstream. */
import type { IncomingHttpHeaders } from 'node:http'
import { PassThrough, type Readable } from 'node:stream'
import type { Dispatcher } from 'undici'
import type { IClockService } from '../common/Services.js'
import type { IDisposable, Milliseconds } from '../common/Types.js'
import { ExchangeAbortedError, StartRefusedError } from './GateErrors.js'
import { contentLength, fieldsOf, hasForeignCoding } from './HeaderRules.js'
import { FINGERPRINT_BODY_BYTES } from './KeptBody.js'
import { HEADER, type IAnswerSink, type ICall, type NotRunReason } from './Types.js'
import type { UpstreamConnection } from './UpstreamConnections.js'

/** How an exchange ended. */
export type ExchangeEnd =
  | { readonly kind: 'whole', readonly status: number }
  /** Not a byte was sent. `isStale`: the connection had been closed while it was idle; another may serve. */
  | { readonly kind: 'not-started', readonly reason: NotRunReason, readonly isStale: boolean }
  /** Bytes were sent; there is no whole answer. */
  | { readonly kind: 'cut', readonly reason: string, readonly isByUpstream: boolean }

/** What an exchange needs. */
export interface IUpstreamExchangeOptions {
  readonly call: ICall
  readonly sink: IAnswerSink
  /** The call's body, or its content if it was read before. */
  readonly body: Readable | Buffer | undefined
  /** Largest request body in bytes. */
  readonly requestBytes: number
  /** Largest answer body in bytes. */
  readonly responseBytes: number
  readonly clock: IClockService
  /** Asked right before the first byte; a reason refuses the start. */
  readonly onStarting: () => NotRunReason | undefined
}

/** Passes one request to an upstream and its answer back, chunk by chunk, with back-pressure. */
export class UpstreamExchange implements Dispatcher.DispatchHandler {
  public readonly call: ICall
  private readonly _options: IUpstreamExchangeOptions
  private readonly _keptChunks: Uint8Array[] = []
  private readonly _owned: IDisposable[] = []
  /** What the client reads of a streamed body; its end by the client leaves the caller's connection open. */
  private readonly _passage: PassThrough | undefined
  private _sentBytes = 0
  private _controller: Dispatcher.DispatchController | undefined
  private _resolve: ((end: ExchangeEnd) => void) | undefined
  private _abortReason: string | undefined
  private _status = 0
  private _receivedBytes = 0

  constructor (options: IUpstreamExchangeOptions) {
    this.call = options.call
    this._options = options
    if (options.body !== undefined && !Buffer.isBuffer(options.body)) this._passage = new PassThrough()
  }

  /** True once the first byte may have left. */
  public get isStarted (): boolean {
    return this._controller !== undefined
  }

  /** The beginning of the body as far as it was sent. */
  public get keptChunks (): readonly Uint8Array[] {
    return this._keptChunks
  }

  /** Runs the exchange. Never rejects. */
  public run (connection: UpstreamConnection): Promise<ExchangeEnd> {
    const { call } = this._options
    const body = this._passage ?? this._options.body as Buffer | undefined ?? null
    return new Promise((resolve) => {
      this._resolve = resolve
      try {
        connection.client.dispatch({ path: call.path, method: call.method, headers: this._headers(), body }, this)
      } catch {
        this._finish({ kind: 'not-started', reason: 'malformed', isStale: false })
      }
    })
  }

  /** Ends the exchange; the connection is closed, which cancels the request at the upstream. */
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
    this._owned.push(clock.after(remaining, () => { this.abort('deadline') }))
    this._owned.push(call.onCancelled(() => { this.abort('cancelled') }))
    this._startBody()
  }

  public onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    if (status < 200) return
    this._status = status
    const fault = this._faultOfHead(status, headers)
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
    const reason = this._abortReason ?? (this._isSenderGone ? 'cancelled' : reasonOf(error))
    this._finish({ kind: 'cut', reason, isByUpstream: this._abortReason === undefined && !this._isSenderGone })
  }

  private get _isSenderGone (): boolean {
    const { body, call } = this._options
    return call.isCancelled || (body !== undefined && !Buffer.isBuffer(body) && body.destroyed && !body.readableEnded)
  }

  /** Lets the body flow; its beginning is kept without a copy. */
  private _startBody (): void {
    const { body } = this._options
    const passage = this._passage
    if (Buffer.isBuffer(body)) this._keep(body)
    if (body === undefined || Buffer.isBuffer(body) || passage === undefined) return
    body.on('data', this._keep)
    body.pipe(passage)
    body.once('close', () => {
      if (!body.readableEnded) passage.destroy(new Error('the body ended too early'))
    })
    passage.on('error', ignore)
    passage.once('close', () => {
      body.unpipe(passage)
      body.resume()
    })
  }

  private readonly _keep = (chunk: Uint8Array): void => {
    if (this._sentBytes < FINGERPRINT_BODY_BYTES) this._keptChunks.push(chunk)
    this._sentBytes += chunk.byteLength
    if (this._sentBytes > this._options.requestBytes) this.abort('request-too-large')
  }

  private _finish (end: ExchangeEnd): void {
    for (const owned of this._owned) owned.dispose()
    const { body } = this._options
    if (body !== undefined && !Buffer.isBuffer(body)) body.off('data', this._keep)
    this._resolve?.(end)
    this._resolve = undefined
  }

  /** Names and values in turn; the fields of the mesh replace what the caller sent under their names. */
  private _headers (): string[] {
    const { call, clock } = this._options
    const remaining = Math.max(1, Math.floor(call.deadlineAt - clock.now()))
    const own = [HEADER.deadline, String(remaining), HEADER.requestId, call.requestId, HEADER.depth, String(call.depth + 1)]
    return [...own, ...fieldsOf(call.headers, (name) => !isMeshField(name))]
  }

  private _faultOfHead (status: number, headers: IncomingHttpHeaders): string | undefined {
    const echoed = headers[HEADER.requestId]
    if (echoed !== undefined && echoed !== this.call.requestId) return 'answer-crossed'
    if (this.call.method === 'HEAD' || status === 204 || status === 304) return undefined
    const length = contentLength(headers)
    if (length !== undefined) return length > this._options.responseBytes ? 'answer-too-large' : undefined
    // An answer that ends with its connection cannot be told from a truncated one.
    return headers['transfer-encoding'] === undefined || hasForeignCoding(headers) ? 'answer-without-length' : undefined
  }
}

/** Tells whether the gate writes this field itself or does not pass it to upstreams. */
function isMeshField (name: string): boolean {
  if (!name.startsWith('savoryknot-')) return false
  return name === HEADER.deadline || name === HEADER.requestId || name === HEADER.depth || name === HEADER.route || name === HEADER.version
}

/** Short reason for an error of the HTTP client. */
function reasonOf (error: Error): string {
  const code = (error as NodeJS.ErrnoException).code
  if (code === 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH') return 'answer-truncated'
  if (code === 'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH') return 'request-truncated'
  if (code?.startsWith('HPE_') === true || code === 'UND_ERR_HEADERS_OVERFLOW') return 'answer-malformed'
  return 'connection-lost'
}

function ignore (): void {}
