/** One HTTP exchange with the gate of another node. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'
import type { IDisposable, Milliseconds } from '../common/Types.js'
import { hasDelimitedBody } from '../gate/HeaderRules.js'
import { HEADER, type CallOutcome, type IAnswerSink, type ICall, type NotRunReason } from '../gate/Types.js'
import { hasResponseBody, parseNotRunReason, singleHeader } from './ResponseHeaders.js'
import { ANSWER_MISMATCHED, SETTLE_FAILED } from './Events.js'
import type { IRemoteGateOptions } from './RemoteGate.js'
import { bodyToSend, headersToSend, isSendable } from './RemoteRequest.js'

/** Additional wait after the deadline, so that the refusal of the gate can still arrive. */
const DEADLINE_GRACE_MS = 5

const FIRST_FINAL_STATUS = 200

/**
 * Server name in TLS, the same for all gates: undici would otherwise use the `host` field of each request, and open a
 * new connection whenever the name changes.
 */
const TLS_SERVER_NAME = 'node.savoryknot'

/**
 * Handler of one `dispatch`. Reports its outcome exactly once. On `abort`, undici destroys the connection of an
 * incomplete exchange, so that the connection is never reused.
 */
export class RemoteExchange implements Dispatcher.DispatchHandler {
  private _controller: Dispatcher.DispatchController | undefined
  private _refusal: CallOutcome | undefined
  private _deadlineTimer: IDisposable | undefined
  private _cancelListener: IDisposable | undefined
  private _drainListener: IDisposable | undefined
  private _status = 0
  private _isResolved = false

  constructor (
    private readonly _options: IRemoteGateOptions,
    private readonly _call: ICall,
    private readonly _sink: IAnswerSink,
    private readonly _onResolved: (outcome: CallOutcome) => void
  ) {}

  /** Sends the request, unless the caller has disconnected or the deadline has passed. */
  public start (): void {
    const { clock, pool } = this._options
    const call = this._call
    const now = clock.now()
    if (call.isCancelled) return this._resolveNotRun('cancelled', 'remote-gate.start')
    if (now >= call.deadlineAt) return this._resolveNotRun('deadline', 'remote-gate.start')
    if (!isSendable(call)) return this._resolveNotRun('malformed', 'remote-gate.start')
    this._deadlineTimer = clock.after(call.deadlineAt - now + DEADLINE_GRACE_MS as Milliseconds, this._onDeadline)
    this._cancelListener = call.onCancelled(this._onCancelled)
    const options: Dispatcher.DispatchOptions & { servername: string } = {
      path: call.path,
      method: call.method as Dispatcher.HttpMethod,
      headers: headersToSend(call, now),
      body: bodyToSend(call),
      idempotent: false,
      headersTimeout: 0,
      bodyTimeout: 0,
      servername: TLS_SERVER_NAME
    }
    pool.dispatch(options, this)
  }

  public onRequestStart (controller: Dispatcher.DispatchController): void {
    // undici may restart a request on another connection, but a request must not be sent twice.
    if (this._isResolved || this._controller !== undefined) return controller.abort(new Error('request is complete or has already been sent'))
    this._controller = controller
  }

  public onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    if (status < FIRST_FINAL_STATUS || this._isResolved) return
    if (singleHeader(headers, HEADER.requestId) !== this._call.requestId) return this._rejectMismatch(controller, 'request-id')
    const outcome = singleHeader(headers, HEADER.outcome)
    if (outcome === 'answered') return this._startResponse(controller, status, headers)
    if (outcome === 'not-run') {
      const reason = parseNotRunReason(headers[HEADER.reason])
      this._refusal = { kind: 'not-run', reason, step: 'remote-gate.refused', peer: this._options.peer }
    } else if (outcome === 'unknown') {
      const reason = singleHeader(headers, HEADER.reason) ?? 'unknown at the gate'
      this._refusal = { kind: 'unknown', reason, step: 'remote-gate.refused', peer: this._options.peer }
    } else {
      this._rejectMismatch(controller, 'outcome')
    }
  }

  public onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this._refusal !== undefined || this._isResolved) return
    if (this._sink.write(chunk)) return
    controller.pause()
    this._drainListener ??= this._sink.onDrained(() => controller.resume())
  }

  public onResponseEnd (): void {
    if (this._isResolved) return
    if (this._refusal !== undefined) return this._resolve(this._refusal)
    this._sink.end()
    this._resolve({ kind: 'answered', status: this._status })
  }

  public onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    if (this._isResolved) return
    if (this._refusal !== undefined) return this._resolve(this._refusal)
    if (this._controller === undefined) return this._resolveNotRun('unreachable', 'remote-gate.connect')
    if (this._sink.hasBegun) return this._truncateResponse(error.message)
    this._settle(error)
  }

  private _startResponse (controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    // Without a length the body would end with the connection, and a truncated body would look complete.
    if (!hasDelimitedBody(headers) && hasResponseBody(this._call.method, status)) return this._rejectMismatch(controller, 'length')
    this._status = status
    this._sink.begin(status, headers)
  }

  private _rejectMismatch (controller: Dispatcher.DispatchController, field: string): void {
    const { invariants, log, peer } = this._options
    invariants.check(field !== 'request-id', 'answer-matches-request', 'remote-gate.answer', peer)
    log.log(ANSWER_MISMATCHED, { step: 'remote-gate.answer', peer, field })
    this._resolveUnknown(`answer with a wrong ${field}`, 'remote-gate.answer')
    controller.abort(new Error('response discarded'))
  }

  private readonly _onDeadline = (): void => {
    if (this._isResolved) return
    if (this._controller === undefined) return this._resolveNotRun('deadline', 'remote-gate.connect')
    this._abortExchange('deadline')
  }

  private readonly _onCancelled = (): void => {
    if (this._isResolved) return
    if (this._controller === undefined) return this._resolveNotRun('cancelled', 'remote-gate.connect')
    this._abortExchange('cancelled')
  }

  /** Aborts an exchange whose request has been sent; the gate cancels the request when it detects the closed connection. */
  private _abortExchange (reason: string): void {
    if (this._sink.hasBegun) this._truncateResponse(reason)
    else if (this._refusal !== undefined) this._resolve(this._refusal)
    else this._resolveUnknown(reason, 'remote-gate.wait')
    this._controller?.abort(new Error(reason))
  }

  private _truncateResponse (reason: string): void {
    this._sink.abort()
    this._resolveUnknown(reason, 'remote-gate.answer')
  }

  /** Sends a settle query after the connection broke before a response: only the gate can state whether the request started. */
  private _settle (error: Error): void {
    const { settleClient, node, peer, clock, log } = this._options
    settleClient.settle(node, this._call.requestId, this._call.deadlineAt, clock.now()).then((result) => {
      if (this._isResolved) return
      if (result === 'never-will-be') return this._resolveNotRun('unreachable', 'remote-gate.settle')
      if (result === undefined) log.log(SETTLE_FAILED, { step: 'remote-gate.settle', peer, cause: error.message })
      this._resolveUnknown('connection broke', 'remote-gate.settle')
    }, () => this._resolveUnknown('connection broke', 'remote-gate.settle'))
  }

  private _resolveNotRun (reason: NotRunReason, step: string): void {
    this._resolve({ kind: 'not-run', reason, step, peer: this._options.peer })
  }

  private _resolveUnknown (reason: string, step: string): void {
    this._resolve({ kind: 'unknown', reason, step, peer: this._options.peer })
  }

  private _resolve (outcome: CallOutcome): void {
    if (this._isResolved) return
    this._isResolved = true
    this._deadlineTimer?.dispose()
    this._cancelListener?.dispose()
    this._drainListener?.dispose()
    this._onResolved(outcome)
  }
}
