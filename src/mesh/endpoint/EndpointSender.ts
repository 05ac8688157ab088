/** Sends requests to the local endpoint and validates its responses. */
import { CancellationSource } from '../../common/Cancellation.js'
import { Disposable } from '../../common/Disposable.js'
import { hasReadPendingInput, waitForPendingInputSince } from '../../common/PendingInput.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { hasUnsupportedTransferCoding } from '../../gate/HeaderRules.js'
import { UpstreamConnections, type UpstreamConnection } from '../../gate/UpstreamConnections.js'
import { RESPONSE_MALFORMED, ENDPOINT_REACHABLE, ENDPOINT_UNREACHABLE } from '../Events.js'
import type { ResponseBufferBudget } from '../exchange/ResponseBufferBudget.js'
import { responseFields } from '../exchange/CallCodec.js'
import { HttpExchange, type ExchangeResult } from '../exchange/HttpExchange.js'
import { isEndpointFailure, isRefusalStatus, isServed } from '../exchange/Statuses.js'
import type { IConfigurationService, IEndpointResponseHead, IMessageFormat } from '../Services.js'
import type { AttemptOutcome, IEndpointRecord, IMeshCall, RefusalReason } from '../Types.js'
import { EndpointCrashMonitor } from './EndpointCrashMonitor.js'
import type { FailureRate } from './FailureRate.js'
import type { GatedCall } from './GatedCall.js'
import type { ServiceTimes } from './ServiceTimes.js'

/** Dependencies of the sender. */
export interface IEndpointSenderOptions {
  readonly configuration: IConfigurationService
  readonly format: IMessageFormat
  readonly clock: IClockService
  readonly log: ILogService
  /** Receives the service times of requests. */
  readonly times: ServiceTimes
  /** Receives the failures of requests. */
  readonly failures: FailureRate
  /** Limits the memory of responses. */
  readonly responseBuffers: ResponseBufferBudget
}

/** Result of an exchange that received a response. */
type HttpResponse = Extract<ExchangeResult, { kind: 'answer' }>

/** Minimum interval between two connection attempts to the endpoint. */
const OPEN_INTERVAL_MS = 1 as Milliseconds
/** Timeout of a connection attempt; short, since the endpoint is on the same VM. */
const OPEN_TIMEOUT_MS = 500 as Milliseconds
/** Time after a failed connection attempt in which requests are refused without a further attempt. */
const UNREACHABLE_PAUSE_MS = 250
/** Time after the deadline in which the endpoint's own response is still awaited. */
const DEADLINE_GRACE_MS = 60
/** Connections in addition to one per slot, for requests whose connection is being replaced. */
const SPARE_CONNECTIONS = 2
/** Attempts to find a connection that is still open; a stale connection is detected before any byte is sent. */
const MAXIMUM_CONNECTION_ATTEMPTS = 3
/** Time within which a connection reset, or the closing of all connections of a crashed endpoint, is detected. */
const CLOSE_CHECK_DELAY_MS = 10 as Milliseconds

/** Sends one request at a time on each connection. A connection with an incomplete or invalid response is never reused. */
export class EndpointSender extends Disposable {
  private _connections: UpstreamConnections | undefined
  private _crashMonitor: EndpointCrashMonitor | undefined
  private _record: IEndpointRecord | undefined
  /** 0 while the endpoint is reachable. */
  private _unreachableUntil = 0
  /** True once an incarnation other than the one in the record has responded. */
  private _isReplaced = false

  constructor (private readonly _options: IEndpointSenderOptions) {
    super()
  }

  /** True for a short time after a failed connection attempt. */
  public isUnreachable (now: Timestamp): boolean {
    return now < this._unreachableUntil
  }

  /** True while an incarnation that has not reported yet responds at the address of the record. */
  public get isReplaced (): boolean {
    return this._isReplaced
  }

  /** Switches to a new incarnation: opens new connections and discards the failure history. */
  public resetFor (record: IEndpointRecord): void {
    // A new incarnation proves that the previous one has ended; a new address does not.
    if (this._record?.id === record.id && this._record.bornAt === record.bornAt) this.expectEnd()
    this._record = record
    this._connections?.dispose()
    this._unreachableUntil = 0
    this._isReplaced = false
    this._options.failures.reset()
    const connections = new UpstreamConnections({
      address: record.address,
      clock: this._options.clock,
      onUnreachable: () => undefined,
      openInterval: OPEN_INTERVAL_MS,
      openTimeout: OPEN_TIMEOUT_MS
    })
    const limit = this._options.configuration.current?.configuration.services.get(record.service)?.connections
    connections.resize(0, Math.min(limit ?? Infinity, record.slots + SPARE_CONNECTIONS))
    this._connections = connections
    this._crashMonitor = new EndpointCrashMonitor({ ...this._options, connections, endpoint: record.id })
  }

  /** From now on the endpoint may end at any time without this being a crash. */
  public expectEnd (): void {
    this._crashMonitor?.stop()
  }

  /**
   * Runs a request that has a slot. `tryStart` is called right before the first byte is sent; it marks the request as started, or
   * returns the reason why it must not start.
   */
  public async run (gated: GatedCall, tryStart: () => RefusalReason | undefined): Promise<AttemptOutcome> {
    let startRefusal: RefusalReason | undefined
    const tryStartNow = (): boolean => {
      // If this process was suspended just now, the disconnect of the caller may be unread; the next attempt reads it first.
      if (!hasReadPendingInput()) return false
      startRefusal = tryStart()
      if (startRefusal === undefined) gated.sentAt = this._options.clock.now()
      return startRefusal === undefined
    }
    for (let attempt = 0; attempt < MAXIMUM_CONNECTION_ATTEMPTS; attempt++) {
      const connections = this._connections
      const connection = await this._acquire(gated.deadlineAt)
      if (connection === 'late') return { kind: 'refused', reason: 'deadline' }
      // A new incarnation may have reported in the meantime; the next attempt uses its connections.
      if (connection === undefined && connections !== this._connections) continue
      if (connection === undefined) return { kind: 'refused', reason: 'unreachable' }
      // If the request had to wait, the disconnect of its sender may have arrived in the meantime.
      await waitForPendingInputSince(gated.readIteration)
      if (gated.isCancelled) {
        connections?.release(connection, true)
        return { kind: 'refused', reason: 'cancelled' }
      }
      const outcome = await this._exchange(gated, connection, tryStartNow)
      if (outcome !== undefined) return outcome
      if (gated.isCancelled) return { kind: 'refused', reason: 'cancelled' }
      if (startRefusal !== undefined) return { kind: 'refused', reason: startRefusal }
    }
    return { kind: 'refused', reason: 'unreachable' }
  }

  public override dispose (): void {
    super.dispose()
    this.expectEnd()
    this._connections?.dispose()
  }

  /** Sends the request and returns its outcome; undefined if no byte was sent. */
  private async _exchange (gated: GatedCall, connection: UpstreamConnection, tryStart: () => boolean): Promise<AttemptOutcome | undefined> {
    const { call } = gated
    const { clock, format } = this._options
    const startedAt = clock.now()
    const remaining = call.deadlineAt - startedAt as Milliseconds
    const exchange = new HttpExchange({
      method: call.method,
      path: call.path,
      fields: [...call.fields, ...format.endpointFields(call, this._record?.id ?? call.endpoint, remaining)],
      body: call.body,
      shouldStart: tryStart,
      bufferBudget: this._options.responseBuffers
    })
    gated.exchange = exchange
    const timer = clock.after(remaining + DEADLINE_GRACE_MS as Milliseconds, () => exchange.abort('deadline'))
    const connections = this._connections
    const crashMonitor = this._crashMonitor
    const end = await this._verifyUnframedEnd(await exchange.run(connection), connection, call.deadlineAt + DEADLINE_GRACE_MS as Timestamp)
    timer.dispose()
    const outcome = end.kind === 'not-sent' ? undefined : this._toOutcome(call, end, startedAt)
    const crash = end.kind === 'broken' && !exchange.isAborted ? await crashMonitor?.recordBrokenExchange(gated.identity) : undefined
    connections?.release(connection, outcome !== undefined && outcome.kind !== 'unknown')
    return crash !== undefined && outcome?.kind === 'unknown' ? { ...outcome, crash } : outcome
  }

  /**
   * A response without length ends when its connection closes, which also happens after a reset or a crash of the endpoint.
   * A reset is reported by the connection; after a crash all connections are closed and new ones are refused.
   */
  private async _verifyUnframedEnd (end: ExchangeResult, connection: UpstreamConnection, latestAt: Timestamp): Promise<ExchangeResult> {
    if (end.kind !== 'answer' || end.hasLength) return end
    await this._options.clock.sleep(CLOSE_CHECK_DELAY_MS)
    if (connection.hasFailed) return { kind: 'broken', reason: 'answer without length was cut' }
    if ((this._connections?.open.size ?? 0) > 0) return end
    const probe = await this._acquire(latestAt)
    if (probe === undefined || probe === 'late') return { kind: 'broken', reason: 'endpoint ended with its answer' }
    this._connections?.release(probe, true)
    return end
  }

  private _toOutcome (call: IMeshCall, end: Exclude<ExchangeResult, { kind: 'not-sent' }>, startedAt: Timestamp): AttemptOutcome {
    const { clock, failures, log, format, times } = this._options
    if (end.kind === 'broken') {
      if (end.reason !== 'cancelled') failures.record(true, clock.now())
      if (end.reason === 'cancelled' || end.reason === 'deadline') times.recordLowerBound(call.route, clock.now() - startedAt as Milliseconds)
      return { kind: 'unknown', reason: end.reason }
    }
    const head = format.readResponseHead(end.status, end.headers)
    const fault = findResponseFault(call, end, head)
    if (fault !== undefined) {
      failures.record(true, clock.now())
      log.log(RESPONSE_MALFORMED, { step: 'gate.answer', peer: this._record?.id, request: call.callerRequestId, status: end.status, reason: fault })
      return { kind: 'unknown', reason: fault }
    }
    this._recordCompleteResponse(call, end.status, head.isNotExecuted, startedAt)
    if (head.isOtherIncarnation) this._isReplaced = true
    if (head.isNotExecuted) return { kind: 'refused', reason: 'shed' }
    return { kind: 'answered', answer: { status: end.status, fields: responseFields(end.headers), body: end.body } }
  }

  private _recordCompleteResponse (call: IMeshCall, status: number, isNotExecuted: boolean, startedAt: Timestamp): void {
    const { clock, times, failures, log } = this._options
    const now = clock.now()
    const duration = now - startedAt as Milliseconds
    if (!isNotExecuted && isServed(status)) times.record(call.route, duration)
    // A slow endpoint fails requests at their deadline, after more than the average service time.
    else if (!isNotExecuted) times.recordLowerBound(call.route, duration)
    failures.record(isNotExecuted || isEndpointFailure(status), now)
    if (this._unreachableUntil === 0) return
    this._unreachableUntil = 0
    log.log(ENDPOINT_REACHABLE, { step: 'gate.exchange', endpoint: this._record?.id })
  }

  /**
   * Acquires a connection. Undefined if the endpoint is unreachable; `late` if no connection was available by `latestAt`, since
   * opening a connection may take longer than the time left for the request.
   */
  private async _acquire (latestAt: Timestamp): Promise<UpstreamConnection | 'late' | undefined> {
    const { clock } = this._options
    const connections = this._connections
    const timeout = new CancellationSource()
    const timer = clock.after(latestAt - clock.now() as Milliseconds, () => timeout.cancel())
    try {
      const connection = await connections?.acquire(timeout)
      if (connection === undefined || !timeout.isCancelled) return connection
      connections?.release(connection, true)
      return 'late'
    } catch (error) {
      if (timeout.isCancelled) return 'late'
      if (connections === this._connections) this._recordUnreachable(error)
      return undefined
    } finally {
      timer.dispose()
    }
  }

  private _recordUnreachable (error: unknown): void {
    const { clock, log, failures } = this._options
    if (this._unreachableUntil === 0) {
      log.log(ENDPOINT_UNREACHABLE, { step: 'gate.connect', peer: this._record?.address, endpoint: this._record?.id, reason: String(error) })
    }
    const now = clock.now()
    this._unreachableUntil = now + UNREACHABLE_PAUSE_MS
    failures.record(true, now)
  }
}

/**
 * Why a response cannot be accepted for the request; undefined if it can. A response without a request id may be an earlier response
 * that was written again, or may belong to no request at all: it does not even prove that the request was refused.
 */
function findResponseFault (call: IMeshCall, { status, headers }: HttpResponse, head: IEndpointResponseHead): string | undefined {
  if (head.requestId !== call.callerRequestId) return head.requestId === undefined ? 'answer that names no request' : 'answer of another request'
  // Without the endpoint's mark the request may have run, although callers take such a status as proof that it did not.
  if (isRefusalStatus(status) && !head.isNotExecuted) return `status ${status} without the mark of a refusal`
  if (headers['content-encoding'] !== undefined || hasUnsupportedTransferCoding(headers)) return 'encoded answer'
  const isSuccess = status >= 200 && status < 300
  if (isSuccess && !head.isSigned) return 'success without signature'
  return isSuccess && head.isNotExecuted ? 'success with the mark of a refusal' : undefined
}
