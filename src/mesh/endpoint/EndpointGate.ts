/** The only way to the endpoint beside this node. */
import { Gauge } from 'prom-client'
import { Disposable } from '../../common/Disposable.js'
import type { IClockService, IInvariantService, ILogService, IMetricsService } from '../../common/Services.js'
import type { IEvent, Milliseconds, RequestId, Timestamp } from '../../common/Types.js'
import { StartedRequests } from '../../gate/StartedRequests.js'
import { UpstreamConnections, type UpstreamConnection } from '../../gate/UpstreamConnections.js'
import { ANSWER_SPOILT, CALL_REFUSED_AT_GATE, ENDPOINT_REACHABLE, ENDPOINT_UNREACHABLE } from '../Events.js'
import { answerFields } from '../exchange/CallCodec.js'
import { HttpExchange, type ExchangeEnd } from '../exchange/HttpExchange.js'
import type { IConfigurationService, ILocalEndpoint, IMessageFormat } from '../Services.js'
import type { AttemptOutcome, IEndpointLoad, IEndpointRecord, IMeshCall, RefusalReason } from '../Types.js'
import { FailureShare } from './FailureShare.js'
import { ServiceTimes } from './ServiceTimes.js'
import { GatedCall } from './GatedCall.js'
import { WaitingLine } from './WaitingLine.js'

/** What the gate needs. */
export interface IEndpointGateOptions {
  readonly endpoint: ILocalEndpoint
  readonly configuration: IConfigurationService
  readonly format: IMessageFormat
  readonly clock: IClockService
  readonly log: ILogService
  readonly metrics: IMetricsService
  readonly invariants: IInvariantService
}

/** What became of a request whose node was asked for it. */
export type SettledState = 'never-will-be' | 'running' | 'finished'

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
/** Requests in slots that have run this multiple of the usual time, on average, show that the endpoint has turned slow. */
const SLOW_AGE_FACTOR = 1.8
/** Time within which all connections of an endpoint that crashed are seen to close. */
const CRASH_CLOSE_MS = 10 as Milliseconds
const SERVER_ERROR = 500
const GATEWAY_TIMEOUT = 504

/** Admits calls by rank, objective and deadline, and runs them one to a connection. */
export class EndpointGate extends Disposable {
  private readonly _line = new WaitingLine<GatedCall>()
  private readonly _times = new ServiceTimes()
  private readonly _failures = new FailureShare()
  private readonly _started = new StartedRequests()
  private readonly _inFlight = new Map<RequestId, GatedCall>()
  private _connections: UpstreamConnections | undefined
  private _record: IEndpointRecord | undefined
  private _unreachableUntil = 0
  private _isClosing = false

  constructor (private readonly _options: IEndpointGateOptions) {
    super()
    this.register(_options.endpoint.onChanged((record) => this._onEndpointChanged(record)))
    if (_options.endpoint.record !== undefined) this._onEndpointChanged(_options.endpoint.record)
    this._registerGauges()
  }

  /** Requests that run or wait. */
  public get occupied (): number {
    return this._line.running + this._line.waiting
  }

  /** Refuses new requests from now on; those that run or wait go on. */
  public close (): void {
    this._isClosing = true
  }

  /** Runs one attempt. Never rejects. */
  public async execute (call: IMeshCall, onCancelled: IEvent<void>): Promise<AttemptOutcome> {
    const arrivedAt = this._options.clock.now()
    const objective = Math.max(0, call.objectiveAt - arrivedAt) as Milliseconds
    const gated = new GatedCall(call, this._times.expected(call.route, objective))
    const cancelListener = onCancelled(() => this._cancel(gated))
    const outcome = await this._admit(gated, arrivedAt)
    cancelListener.dispose()
    const now = this._options.clock.now()
    if (outcome.kind === 'refused') this._logRefusal(call, outcome.reason, outcome.retryAfter)
    return { ...outcome, load: this.load(arrivedAt, now) }
  }

  /** Tells what became of a request. One that is not known is from now on never run. */
  public settle (requestId: RequestId, now: Timestamp): SettledState {
    const gated = this._inFlight.get(requestId)
    if (gated !== undefined) return 'running'
    return this._started.settle(requestId, now) === 'never-will-be' ? 'never-will-be' : 'finished'
  }

  /** Occupancy and observations of the endpoint; `arrivedAt`: when the request that is answered came. */
  public load (arrivedAt: Timestamp, now: Timestamp): IEndpointLoad {
    return {
      occupied: this.occupied,
      slots: this._record?.slots ?? 0,
      serviceTime: this._presentServiceTime(now),
      failurePercent: this._failures.value(now),
      handled: now - arrivedAt as Milliseconds
    }
  }

  public override dispose (): void {
    super.dispose()
    this._connections?.dispose()
  }

  /** The usual time, or what the requests in slots have run already if that is far more. */
  private _presentServiceTime (now: Timestamp): Milliseconds {
    const usual = this._times.overall
    const age = this._meanAge(now)
    return age > usual * SLOW_AGE_FACTOR ? Math.round(age) as Milliseconds : usual
  }

  /**
   * Mean time that the requests in slots have run. At an endpoint whose times do not change it is about half of them;
   * at one that has turned slow, or silent, it tells so before any request has ended.
   */
  private _meanAge (now: Timestamp): number {
    let sum = 0
    let count = 0
    for (const { startedAt } of this._inFlight.values()) {
      if (startedAt === undefined) continue
      sum += now - startedAt
      count++
    }
    return count === 0 ? 0 : sum / count
  }

  private async _admit (gated: GatedCall, now: Timestamp): Promise<AttemptOutcome> {
    const refusal = this._refusal(gated.call, now)
    if (refusal !== undefined) return { kind: 'refused', reason: refusal }
    this._inFlight.set(gated.call.requestId, gated)
    try {
      const decision = this._line.offer(gated, now)
      if (decision.kind === 'refuse') return { kind: 'refused', reason: 'overloaded', retryAfter: decision.retryAfter }
      if (decision.kind === 'wait') {
        for (const displaced of decision.displaced) displaced.refuse('overloaded', this._line.expectedWait(displaced, now))
        const refused = await this._waitForTurn(gated, now)
        if (refused !== undefined) return refused
      }
      return await this._runInSlot(gated)
    } finally {
      this._inFlight.delete(gated.call.requestId)
    }
  }

  private _refusal (call: IMeshCall, now: Timestamp): RefusalReason | undefined {
    const record = this._record
    if (this._isClosing) return 'draining'
    if (record === undefined || record.service !== call.service) return 'no-endpoint'
    if (record.phase !== 'serving') return 'draining'
    if (now >= call.deadlineAt) return 'deadline'
    if (this._started.isRefused(call.requestId)) return 'cancelled'
    return now < this._unreachableUntil ? 'unreachable' : undefined
  }

  /** Undefined if the request may run now. */
  private async _waitForTurn (gated: GatedCall, now: Timestamp): Promise<AttemptOutcome | undefined> {
    const latest = gated.call.deadlineAt - now as Milliseconds
    const timer = this._options.clock.after(latest, () => {
      if (this._line.withdraw(gated)) gated.refuse('deadline')
    })
    const refused = await gated.turn
    timer.dispose()
    return refused
  }

  private async _runInSlot (gated: GatedCall): Promise<AttemptOutcome> {
    gated.startedAt = this._options.clock.now()
    try {
      return await this._run(gated)
    } finally {
      this._line.release(gated)
      this._startNext()
    }
  }

  private _startNext (): void {
    const now = this._options.clock.now()
    for (;;) {
      const { next, expired } = this._line.next(now)
      for (const request of expired) request.refuse('overloaded', this._line.expectedWait(request, now))
      if (next === undefined) return
      next.start()
    }
  }

  private async _run (gated: GatedCall): Promise<AttemptOutcome> {
    for (let tries = 0; tries < CONNECTION_TRIES; tries++) {
      const connection = await this._acquire()
      if (connection === undefined) return { kind: 'refused', reason: 'unreachable' }
      const end = await this._exchange(gated, connection)
      if (end.kind !== 'not-sent') return this._interpret(gated.call, end)
      if (gated.isCancelled || !this._mayStart(gated.call)) return { kind: 'refused', reason: 'cancelled' }
    }
    return { kind: 'refused', reason: 'unreachable' }
  }

  private async _exchange (gated: GatedCall, connection: UpstreamConnection): Promise<ExchangeEnd> {
    const { call } = gated
    const { clock, format } = this._options
    const startedAt = clock.now()
    const remaining = call.deadlineAt - startedAt as Milliseconds
    const exchange = new HttpExchange({
      method: call.method,
      path: call.path,
      fields: [...call.fields, ...format.endpointFields(call, remaining)],
      body: call.body,
      mayStart: () => this._mayStart(call) && this._started.start(call.requestId, clock.now())
    })
    gated.exchange = exchange
    const timer = clock.after(remaining + DEADLINE_GRACE_MS as Milliseconds, () => exchange.abort('deadline'))
    const end = await this._withoutCrash(await exchange.run(connection))
    timer.dispose()
    const isWhole = end.kind === 'answer' && this._faultOf(call, end) === undefined
    this._connections?.release(connection, isWhole)
    if (isWhole) this._noteWhole(call, startedAt, end)
    return end
  }

  /**
   * An answer without length ends with its connection, also when its endpoint crashes. A crash closes every connection
   * and refuses new ones; an endpoint that only ends its answer does neither.
   */
  private async _withoutCrash (end: ExchangeEnd): Promise<ExchangeEnd> {
    if (end.kind !== 'answer' || end.hasLength) return end
    await this._options.clock.sleep(CRASH_CLOSE_MS)
    if ((this._connections?.open.size ?? 0) > 0) return end
    const connection = await this._acquire()
    if (connection === undefined) return { kind: 'broken', reason: 'endpoint ended with its answer' }
    this._connections?.release(connection, true)
    return end
  }

  /** Asked again right before the first byte, since the endpoint may have begun to leave meanwhile. */
  private _mayStart (call: IMeshCall): boolean {
    const isServing = this._record?.phase === 'serving' && this._record.service === call.service
    return isServing && !this._started.isRefused(call.requestId)
  }

  private _noteWhole (call: IMeshCall, startedAt: Timestamp, end: Extract<ExchangeEnd, { kind: 'answer' }>): void {
    const now = this._options.clock.now()
    const isNotExecuted = this._options.format.readAnswerHead(end.status, end.headers).isNotExecuted
    if (!isNotExecuted && end.status < SERVER_ERROR) this._times.record(call.route, now - startedAt as Milliseconds)
    this._failures.record(isNotExecuted || (end.status >= SERVER_ERROR && end.status !== GATEWAY_TIMEOUT), now)
    if (this._unreachableUntil === 0) return
    this._unreachableUntil = 0
    this._options.log.log(ENDPOINT_REACHABLE, { step: 'gate.exchange', endpoint: this._record?.id })
  }

  private _interpret (call: IMeshCall, end: Exclude<ExchangeEnd, { kind: 'not-sent' }>): AttemptOutcome {
    const now = this._options.clock.now()
    if (end.kind === 'broken') {
      if (end.reason !== 'cancelled') this._failures.record(true, now)
      return { kind: 'unknown', reason: end.reason }
    }
    const fault = this._faultOf(call, end)
    if (fault !== undefined) {
      this._failures.record(true, now)
      this._options.log.log(ANSWER_SPOILT, {
        step: 'gate.answer', peer: this._record?.id, request: call.callerRequestId, status: end.status, reason: fault
      })
      return { kind: 'unknown', reason: fault }
    }
    if (this._options.format.readAnswerHead(end.status, end.headers).isNotExecuted) return { kind: 'refused', reason: 'shed' }
    return { kind: 'answered', answer: { status: end.status, fields: answerFields(end.headers), body: end.body } }
  }

  /** Why an answer is not that of the request; undefined if it is. */
  private _faultOf (call: IMeshCall, end: Extract<ExchangeEnd, { kind: 'answer' }>): string | undefined {
    const head = this._options.format.readAnswerHead(end.status, end.headers)
    const isOther = head.requestId !== undefined && call.callerRequestId !== undefined && head.requestId !== call.callerRequestId
    if (isOther) return 'answer of another request'
    if (end.headers['content-encoding'] !== undefined) return 'encoded answer'
    const isSuccess = end.status >= 200 && end.status < 300
    return isSuccess && !head.isSigned ? 'success without signature' : undefined
  }

  private async _acquire (): Promise<UpstreamConnection | undefined> {
    try {
      return await this._connections?.acquire()
    } catch (error) {
      const now = this._options.clock.now()
      if (this._unreachableUntil === 0) {
        this._options.log.log(ENDPOINT_UNREACHABLE, { step: 'gate.connect', peer: this._record?.address, endpoint: this._record?.id, reason: String(error) })
      }
      this._unreachableUntil = now + UNREACHABLE_PAUSE_MS
      this._failures.record(true, now)
      return undefined
    }
  }

  private _cancel (gated: GatedCall): void {
    gated.isCancelled = true
    if (this._line.withdraw(gated)) gated.refuse('cancelled')
    // A request that must not run twice is left to finish: its caller may still learn by other ways that it ran.
    else if (gated.call.repeat === 'idempotent') gated.exchange?.abort('cancelled')
  }

  private _onEndpointChanged (record: IEndpointRecord): void {
    const before = this._record
    this._record = record
    this._line.resize(record.slots)
    if (before?.id !== record.id || before.bornAt !== record.bornAt || before.address !== record.address) this._renew(record)
    if (record.phase === 'serving') return
    for (const gated of this._line.withdrawAll()) gated.refuse('draining')
  }

  /** A new incarnation gets new connections and begins without a past. */
  private _renew (record: IEndpointRecord): void {
    this._connections?.dispose()
    this._unreachableUntil = 0
    this._failures.reset()
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

  private _logRefusal (call: IMeshCall, reason: RefusalReason, retryAfter: Milliseconds | undefined): void {
    this._options.log.log(CALL_REFUSED_AT_GATE, {
      step: 'gate.admit',
      request: call.callerRequestId,
      route: call.route,
      rank: call.rank,
      reason,
      retryAfter,
      endpoint: this._record?.id,
      phase: this._record?.phase,
      running: this._line.running,
      waiting: this._line.waiting,
      slots: this._record?.slots
    })
  }

  private _registerGauges (): void {
    const registers = [this._options.metrics.registry]
    const line = this._line
    const running: Gauge = new Gauge({
      name: 'savoryknot_endpoint_running', help: 'Requests that run at the endpoint. Unit: requests.', registers, collect: () => running.set(line.running)
    })
    const waiting: Gauge = new Gauge({
      name: 'savoryknot_endpoint_waiting', help: 'Requests that wait for the endpoint. Unit: requests.', registers, collect: () => waiting.set(line.waiting)
    })
  }
}
