/** Sends requests to the endpoint beside this node and judges its answers. */
import { CancellationSource } from '../../common/Cancellation.js'
import { Disposable } from '../../common/Disposable.js'
import { pendingInputReadSince } from '../../common/PendingInput.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { hasUnsupportedTransferCoding } from '../../gate/HeaderRules.js'
import { UpstreamConnections, type UpstreamConnection } from '../../gate/UpstreamConnections.js'
import { ANSWER_SPOILT, ENDPOINT_REACHABLE, ENDPOINT_UNREACHABLE } from '../Events.js'
import { AnswerMemory } from '../exchange/AnswerMemory.js'
import { answerFields } from '../exchange/CallCodec.js'
import { HttpExchange, type ExchangeEnd } from '../exchange/HttpExchange.js'
import { isEndpointFailure, isRefusalStatus, isServed } from '../exchange/Statuses.js'
import type { IConfigurationService, IEndpointAnswerHead, IMessageFormat } from '../Services.js'
import type { AttemptOutcome, IEndpointRecord, IMeshCall } from '../Types.js'
import type { FailureShare } from './FailureShare.js'
import type { GatedCall } from './GatedCall.js'
import type { ServiceTimes } from './ServiceTimes.js'

/** What the sender needs. */
export interface IEndpointSenderOptions {
  readonly configuration: IConfigurationService
  readonly format: IMessageFormat
  readonly clock: IClockService
  readonly log: ILogService
  /** Where times and failures are kept. */
  readonly times: ServiceTimes
  readonly failures: FailureShare
}

/** The answer of an exchange. */
type Answer = Extract<ExchangeEnd, { kind: 'answer' }>

/** Time between two openings of connections to the endpoint. */
const OPEN_INTERVAL_MS = 1 as Milliseconds
/** The endpoint is on the same VM. */
const OPEN_TIMEOUT_MS = 500 as Milliseconds
/** Pause after a failed opening in which requests are refused without another try. */
const UNREACHABLE_PAUSE_MS = 250
/** Time after the deadline in which the endpoint's own answer may still come. */
const DEADLINE_GRACE_MS = 60
/** Connections beyond the slots, for exchanges whose connection is being replaced. */
const SPARE_CONNECTIONS = 2
/** Tries to find a connection that is still open; a stale one shows before a byte is sent. */
const CONNECTION_TRIES = 3
/** Time within which a reset, or the close of all connections of an endpoint that crashed, is seen. */
const END_CHECK_MS = 10 as Milliseconds

/** One request at a time on each connection; a connection whose answer was not whole is never used again. */
export class EndpointSender extends Disposable {
  private readonly _memory = new AnswerMemory()
  private _connections: UpstreamConnections | undefined
  private _record: IEndpointRecord | undefined
  /** 0 while the endpoint can be reached. */
  private _unreachableUntil = 0
  /** True once another incarnation has answered in place of the one in the record. */
  private _isReplaced = false

  constructor (private readonly _options: IEndpointSenderOptions) {
    super()
  }

  /** True for a moment after no connection could be opened. */
  public isUnreachable (now: Timestamp): boolean {
    return now < this._unreachableUntil
  }

  /** True while the address belongs to an incarnation that has not reported yet. */
  public get isReplaced (): boolean {
    return this._isReplaced
  }

  /** A new incarnation gets new connections and begins without a past. */
  public renew (record: IEndpointRecord): void {
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
  }

  /** Runs a request that has its slot. `mayStart` is asked right before the first byte; it marks the request as started. */
  public async run (gated: GatedCall, mayStart: () => boolean): Promise<AttemptOutcome> {
    let isForbidden = false
    const mayStartNow = (): boolean => {
      isForbidden = !mayStart()
      if (!isForbidden) gated.sentAt = this._options.clock.now()
      return !isForbidden
    }
    for (let tries = 0; tries < CONNECTION_TRIES; tries++) {
      const connections = this._connections
      const connection = await this._acquire(gated.deadlineAt)
      if (connection === 'late') return { kind: 'refused', reason: 'deadline' }
      // A new incarnation may have reported meanwhile; its connections are tried next.
      if (connection === undefined && connections !== this._connections) continue
      if (connection === undefined) return { kind: 'refused', reason: 'unreachable' }
      // Where the request had to wait, its sender's leaving may have arrived meanwhile.
      await pendingInputReadSince(gated.readTurn)
      if (gated.isCancelled) {
        connections?.release(connection, true)
        return { kind: 'refused', reason: 'cancelled' }
      }
      const outcome = await this._exchange(gated, connection, mayStartNow)
      if (outcome !== undefined) return outcome
      if (gated.isCancelled) return { kind: 'refused', reason: 'cancelled' }
      // The endpoint began to leave meanwhile, or the asking node has been told that the request will not run.
      if (isForbidden) return { kind: 'refused', reason: 'draining' }
    }
    return { kind: 'refused', reason: 'unreachable' }
  }

  public override dispose (): void {
    super.dispose()
    this._connections?.dispose()
  }

  /** Undefined if not a byte was sent. */
  private async _exchange (gated: GatedCall, connection: UpstreamConnection, mayStart: () => boolean): Promise<AttemptOutcome | undefined> {
    const { call } = gated
    const { clock, format } = this._options
    const startedAt = clock.now()
    const remaining = call.deadlineAt - startedAt as Milliseconds
    const exchange = new HttpExchange({
      method: call.method,
      path: call.path,
      fields: [...call.fields, ...format.endpointFields(call, this._record?.id ?? call.endpoint, remaining)],
      body: call.body,
      mayStart,
      memory: this._memory
    })
    gated.exchange = exchange
    const timer = clock.after(remaining + DEADLINE_GRACE_MS as Milliseconds, () => exchange.abort('deadline'))
    const connections = this._connections
    const end = await this._checkEnd(await exchange.run(connection), connection, call.deadlineAt + DEADLINE_GRACE_MS as Timestamp)
    timer.dispose()
    const outcome = end.kind === 'not-sent' ? undefined : this._judge(call, end, startedAt)
    connections?.release(connection, outcome !== undefined && outcome.kind !== 'unknown')
    return outcome
  }

  /**
   * An answer without length ends with its connection, also when that was reset or the endpoint crashed. A reset shows
   * on the connection; a crash closes every connection and refuses new ones.
   */
  private async _checkEnd (end: ExchangeEnd, connection: UpstreamConnection, latestAt: Timestamp): Promise<ExchangeEnd> {
    if (end.kind !== 'answer' || end.hasLength) return end
    await this._options.clock.sleep(END_CHECK_MS)
    if (connection.hasFailed) return { kind: 'broken', reason: 'answer without length was cut' }
    if ((this._connections?.open.size ?? 0) > 0) return end
    const other = await this._acquire(latestAt)
    if (other === undefined || other === 'late') return { kind: 'broken', reason: 'endpoint ended with its answer' }
    this._connections?.release(other, true)
    return end
  }

  private _judge (call: IMeshCall, end: Exclude<ExchangeEnd, { kind: 'not-sent' }>, startedAt: Timestamp): AttemptOutcome {
    const { clock, failures, log, format, times } = this._options
    if (end.kind === 'broken') {
      if (end.reason !== 'cancelled') failures.record(true, clock.now())
      if (end.reason === 'cancelled' || end.reason === 'deadline') times.recordAtLeast(call.route, clock.now() - startedAt as Milliseconds)
      return { kind: 'unknown', reason: end.reason }
    }
    const head = format.readAnswerHead(end.status, end.headers)
    const fault = faultOf(call, end, head)
    if (fault !== undefined) {
      failures.record(true, clock.now())
      log.log(ANSWER_SPOILT, { step: 'gate.answer', peer: this._record?.id, request: call.callerRequestId, status: end.status, reason: fault })
      return { kind: 'unknown', reason: fault }
    }
    this._noteWhole(call, end.status, head.isNotExecuted, startedAt)
    if (head.isOtherIncarnation) this._isReplaced = true
    if (head.isNotExecuted) return { kind: 'refused', reason: 'shed' }
    return { kind: 'answered', answer: { status: end.status, fields: answerFields(end.headers), body: end.body } }
  }

  private _noteWhole (call: IMeshCall, status: number, isNotExecuted: boolean, startedAt: Timestamp): void {
    const { clock, times, failures, log } = this._options
    const now = clock.now()
    const duration = now - startedAt as Milliseconds
    if (!isNotExecuted && isServed(status)) times.record(call.route, duration)
    // An endpoint that is slow fails requests at their deadline, after more than the usual time.
    else if (!isNotExecuted) times.recordAtLeast(call.route, duration)
    failures.record(isNotExecuted || isEndpointFailure(status), now)
    if (this._unreachableUntil === 0) return
    this._unreachableUntil = 0
    log.log(ENDPOINT_REACHABLE, { step: 'gate.exchange', endpoint: this._record?.id })
  }

  /** Undefined if the endpoint cannot be reached; an opening may take longer than the request has. */
  private async _acquire (latestAt: Timestamp): Promise<UpstreamConnection | 'late' | undefined> {
    const { clock } = this._options
    const connections = this._connections
    const wait = new CancellationSource()
    const timer = clock.after(latestAt - clock.now() as Milliseconds, () => wait.cancel())
    try {
      const connection = await connections?.acquire(wait)
      if (connection === undefined || !wait.isCancelled) return connection
      connections?.release(connection, true)
      return 'late'
    } catch (error) {
      if (wait.isCancelled) return 'late'
      if (connections === this._connections) this._noteUnreachable(error)
      return undefined
    } finally {
      timer.dispose()
    }
  }

  private _noteUnreachable (error: unknown): void {
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
 * Why an answer is not that of the request; undefined if it is. One that names no request may be an earlier answer that was
 * written once more, or belong to none: it does not even prove that the request was refused.
 */
function faultOf (call: IMeshCall, { status, headers }: Answer, head: IEndpointAnswerHead): string | undefined {
  if (head.requestId !== call.callerRequestId) return head.requestId === undefined ? 'answer that names no request' : 'answer of another request'
  // Without the endpoint's mark the request may have run, which its caller would take such a status to rule out.
  if (isRefusalStatus(status) && !head.isNotExecuted) return `status ${status} without the mark of a refusal`
  if (headers['content-encoding'] !== undefined || hasUnsupportedTransferCoding(headers)) return 'encoded answer'
  const isSuccess = status >= 200 && status < 300
  if (isSuccess && !head.isSigned) return 'success without signature'
  return isSuccess && head.isNotExecuted ? 'success with the mark of a refusal' : undefined
}
