/** The only way to the endpoint beside this node. */
import { Gauge } from 'prom-client'
import type { ICancellation } from '../../common/Cancellation.js'
import { Disposable } from '../../common/Disposable.js'
import type { IClockService, IInvariantService, ILogService, IMetricsService } from '../../common/Services.js'
import type { Milliseconds, RequestId, Timestamp } from '../../common/Types.js'
import { loopTurns } from '../../common/LoopTurns.js'
import { StartedRequests } from '../../gate/StartedRequests.js'
import { CALL_ABANDONED, CALL_REFUSED_AT_GATE } from '../Events.js'
import { presentTime } from '../exchange/SlowAge.js'
import type { IConfigurationService, ILocalEndpoint, IMessageFormat } from '../Services.js'
import type { AttemptOutcome, IEndpointLoad, IEndpointRecord, IMeshCall, RefusalReason } from '../Types.js'
import { EndpointSender } from './EndpointSender.js'
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

/** Admits calls by rank, objective and deadline, and runs them one to a connection. */
export class EndpointGate extends Disposable {
  private readonly _sender: EndpointSender
  private readonly _line = new WaitingLine<GatedCall>()
  private readonly _times = new ServiceTimes()
  private readonly _failures = new FailureShare()
  private readonly _started = new StartedRequests()
  private readonly _inFlight = new Map<RequestId, GatedCall>()
  private _record: IEndpointRecord | undefined
  private _isClosing = false

  constructor (private readonly _options: IEndpointGateOptions) {
    super()
    this._sender = this.register(new EndpointSender({ ..._options, times: this._times, failures: this._failures }))
    this.register(_options.endpoint.onChanged((record) => this._onEndpointChanged(record)))
    if (_options.endpoint.record !== undefined) this._onEndpointChanged(_options.endpoint.record)
    this._registerGauges()
  }

  /** Requests that run or wait. */
  public get occupied (): number {
    return this._line.running + this._line.waiting
  }

  /** Closes the connections to the endpoint. */
  public stop (): void {
    this.dispose()
  }

  /** Refuses new requests from now on; those that run or wait go on. */
  public close (): void {
    this._isClosing = true
  }

  /** Refuses the requests that wait; those that run go on. */
  public conclude (): void {
    for (const gated of this._line.withdrawAll()) gated.refuse('draining')
  }

  /** Runs one attempt. Never rejects. */
  public async execute (call: IMeshCall, cancellation: ICancellation): Promise<AttemptOutcome> {
    const arrivedAt = this._options.clock.now()
    const objective = Math.max(0, call.objectiveAt - arrivedAt) as Milliseconds
    const gated = new GatedCall(call, {
      expected: this._times.expected(call.route, objective), cancellation, readAt: arrivedAt, readTurn: loopTurns()
    })
    const cancelListener = cancellation.onCancelled(() => this._cancel(gated))
    const outcome = await this._admit(gated, arrivedAt)
    cancelListener.dispose()
    const now = this._options.clock.now()
    if (outcome.kind === 'refused') this._logRefusal(gated, outcome.reason, outcome.retryAfter)
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
      handled: now - arrivedAt as Milliseconds,
      toldAt: now
    }
  }

  /** The usual time, or what the requests in slots have run already if that is far more. */
  private _presentServiceTime (now: Timestamp): Milliseconds {
    return Math.round(presentTime(this._times.overall, this._startTimes(), now)) as Milliseconds
  }

  /** When the requests in slots began to run. */
  private * _startTimes (): Iterable<Timestamp> {
    for (const { startedAt } of this._inFlight.values()) {
      if (startedAt !== undefined) yield startedAt
    }
  }

  private async _admit (gated: GatedCall, now: Timestamp): Promise<AttemptOutcome> {
    const refusal = gated.isCancelled ? 'cancelled' : this._refusal(gated.call, now)
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
    if (record === undefined || record.phase === 'silent' || record.service !== call.service || this._sender.isReplaced) return 'no-endpoint'
    if (record.phase !== 'serving') return 'draining'
    if (now >= call.deadlineAt) return 'deadline'
    if (this._started.isRefused(call.requestId)) return 'cancelled'
    return this._sender.isUnreachable(now) ? 'unreachable' : undefined
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
      return await this._sender.run(gated, () => this._mayStart(gated))
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

  /** Asked again right before the first byte, since the endpoint may have begun to leave meanwhile, or the caller have left. */
  private _mayStart ({ call, isCancelled }: GatedCall): boolean {
    if (isCancelled) return false
    const isServing = this._record?.phase === 'serving' && this._record.service === call.service
    return isServing && this._started.markStarted(call.requestId, this._options.clock.now())
  }

  private _cancel (gated: GatedCall): void {
    if (gated.startedAt !== undefined) this._logAbandoned(gated)
    if (this._line.withdraw(gated)) gated.refuse('cancelled')
    // A request that must not run twice is left to finish: its caller may still learn by other ways that it ran.
    else if (gated.call.repeat === 'idempotent') gated.exchange?.abort('cancelled')
  }

  private _onEndpointChanged (record: IEndpointRecord): void {
    const before = this._record
    this._record = record
    this._line.resize(record.slots)
    if (before?.id !== record.id || before.bornAt !== record.bornAt || before.address !== record.address) this._sender.renew(record)
    if (record.phase === 'serving') return
    this.conclude()
  }

  private _logAbandoned ({ call, readAt, sentAt, readTurn }: GatedCall): void {
    const { clock, log } = this._options
    log.log(CALL_ABANDONED, {
      step: 'gate.cancel',
      request: call.callerRequestId,
      route: call.route,
      endpoint: this._record?.id,
      sentAfterMs: sentAt === undefined ? undefined : sentAt - readAt,
      leftAfterMs: clock.now() - readAt,
      turns: loopTurns() - readTurn
    })
  }

  private _logRefusal ({ call, readAt, readTurn }: GatedCall, reason: RefusalReason, retryAfter: Milliseconds | undefined): void {
    this._options.log.log(CALL_REFUSED_AT_GATE, {
      step: 'gate.admit',
      request: call.callerRequestId,
      route: call.route,
      rank: call.rank,
      reason,
      retryAfter,
      afterMs: this._options.clock.now() - readAt,
      turns: loopTurns() - readTurn,
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
