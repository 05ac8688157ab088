/** Admission control in front of the local endpoint; all requests to it pass through here. */
import { Gauge } from 'prom-client'
import type { ICancellation } from '../../common/Cancellation.js'
import { Disposable } from '../../common/Disposable.js'
import type { IClockService, IInvariantService, ILogService, IMetricsService } from '../../common/Services.js'
import type { Milliseconds, RequestId, Timestamp } from '../../common/Types.js'
import { eventLoopIterations } from '../../common/EventLoopIterations.js'
import { StartedRequests } from '../../gate/StartedRequests.js'
import type { CrashRegistry } from '../crashes/CrashRegistry.js'
import { CALL_ABANDONED, CALL_REFUSED_AT_GATE } from '../Events.js'
import { currentServiceTime } from '../exchange/ServiceTimeEstimate.js'
import type { ResponseBufferBudget } from '../exchange/ResponseBufferBudget.js'
import { isServed } from '../exchange/Statuses.js'
import type { IConfigurationService, ILocalEndpoint, IMessageFormat } from '../Services.js'
import type { AttemptOutcome, IEndpointLoad, IEndpointRecord, IMeshCall, RefusalReason } from '../Types.js'
import { EndpointSender } from './EndpointSender.js'
import { FailureRate } from './FailureRate.js'
import { ServiceTimes } from './ServiceTimes.js'
import { GatedCall } from './GatedCall.js'
import { RequestQueue } from './RequestQueue.js'

/** Dependencies of the gate. */
export interface IEndpointGateOptions {
  readonly endpoint: ILocalEndpoint
  readonly configuration: IConfigurationService
  readonly crashes: CrashRegistry
  readonly format: IMessageFormat
  readonly clock: IClockService
  readonly log: ILogService
  readonly metrics: IMetricsService
  readonly invariants: IInvariantService
  /** Limits the memory of responses. */
  readonly responseBuffers: ResponseBufferBudget
}

/** Result of a settle query: state of a request whose outcome the calling node does not know. */
export type SettledState = 'never-will-be' | 'running' | 'finished'

/** Admits calls by rank, objective and deadline, and runs one call at a time per connection. */
export class EndpointGate extends Disposable {
  private readonly _sender: EndpointSender
  private readonly _queue = new RequestQueue<GatedCall>()
  private readonly _times = new ServiceTimes()
  private readonly _failures = new FailureRate()
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

  /** Number of running and queued requests. */
  public get occupied (): number {
    return this._queue.running + this._queue.waiting
  }

  /** Closes the connections to the endpoint. */
  public stop (): void {
    this.dispose()
  }

  /** Refuses new requests from now on; running and queued requests continue. */
  public close (): void {
    this._isClosing = true
  }

  /** Refuses the queued requests; running requests continue. */
  public refuseQueued (): void {
    for (const gated of this._queue.withdrawAll()) gated.refuse('draining')
  }

  /** Runs one attempt. Never rejects. */
  public async execute (call: IMeshCall, cancellation: ICancellation): Promise<AttemptOutcome> {
    const arrivedAt = this._options.clock.now()
    const objective = Math.max(0, call.objectiveAt - arrivedAt) as Milliseconds
    const gated = new GatedCall(call, {
      expected: this._times.expected(call.route, objective), cancellation, readAt: arrivedAt, readIteration: eventLoopIterations()
    })
    const cancelListener = cancellation.onCancelled(() => this._cancel(gated))
    const admitted = await this._admit(gated, arrivedAt)
    cancelListener.dispose()
    const now = this._options.clock.now()
    const outcome = this._withTrialTime(gated, admitted, now)
    if (outcome.kind === 'refused') this._logRefusal(gated, outcome.reason, outcome.retryAfter)
    return { ...outcome, load: this.load(arrivedAt, now) }
  }

  /** Adds the time until the next trial to the refusal of a quarantined request. */
  private _withTrialTime ({ identity }: GatedCall, outcome: AttemptOutcome, now: Timestamp): AttemptOutcome {
    if (outcome.kind !== 'refused' || outcome.reason !== 'quarantined') return outcome
    return { ...outcome, retryAfter: this._options.crashes.refusalTime(identity, now) }
  }

  /** Returns the state of a request. An unknown request is refused if it arrives later. */
  public settle (requestId: RequestId, now: Timestamp): SettledState {
    const gated = this._inFlight.get(requestId)
    if (gated !== undefined) return 'running'
    return this._started.settle(requestId, now) === 'never-will-be' ? 'never-will-be' : 'finished'
  }

  /** Occupancy and measurements of the endpoint. `arrivedAt`: arrival time of the request with whose response they are sent. */
  public load (arrivedAt: Timestamp, now: Timestamp): IEndpointLoad {
    return {
      occupied: this.occupied,
      slots: this._record?.slots ?? 0,
      serviceTime: this._currentServiceTime(now),
      failurePercent: this._failures.value(now),
      handled: now - arrivedAt as Milliseconds,
      reportedAt: now
    }
  }

  /** Current estimate of the service time: the average, or the time that running requests have taken so far if that is much longer. */
  private _currentServiceTime (now: Timestamp): Milliseconds {
    return Math.round(currentServiceTime(this._times.overall, this._startTimes(), now)) as Milliseconds
  }

  /** Start times of the running requests. */
  private * _startTimes (): Iterable<Timestamp> {
    for (const { startedAt } of this._inFlight.values()) {
      if (startedAt !== undefined) yield startedAt
    }
  }

  private async _admit (gated: GatedCall, now: Timestamp): Promise<AttemptOutcome> {
    const refusal = gated.isCancelled ? 'cancelled' : this._refusalReason(gated, now)
    if (refusal !== undefined) return { kind: 'refused', reason: refusal }
    this._inFlight.set(gated.call.requestId, gated)
    try {
      const decision = this._queue.offer(gated, now)
      if (decision.kind === 'refuse') return { kind: 'refused', reason: 'overloaded', retryAfter: decision.retryAfter }
      if (decision.kind === 'wait') {
        for (const displaced of decision.displaced) displaced.refuse('overloaded', this._queue.expectedWait(displaced, now))
        const refused = await this._waitForSlot(gated, now)
        if (refused !== undefined) return refused
      }
      return await this._runInSlot(gated)
    } finally {
      this._inFlight.delete(gated.call.requestId)
    }
  }

  private _refusalReason ({ call, identity }: GatedCall, now: Timestamp): RefusalReason | undefined {
    const record = this._record
    if (this._isClosing) return 'draining'
    if (record === undefined || record.phase === 'silent' || record.service !== call.service || this._sender.isReplaced) return 'no-endpoint'
    if (record.phase !== 'serving') return 'draining'
    if (now >= call.deadlineAt) return 'deadline'
    if (this._started.isRefused(call.requestId)) return 'cancelled'
    if (this._options.crashes.refusalTime(identity, now) !== undefined) return 'quarantined'
    return this._sender.isUnreachable(now) ? 'unreachable' : undefined
  }

  /** Refusal of the request; undefined if it may run now. */
  private async _waitForSlot (gated: GatedCall, now: Timestamp): Promise<AttemptOutcome | undefined> {
    const latest = gated.call.deadlineAt - now as Milliseconds
    const timer = this._options.clock.after(latest, () => {
      if (this._queue.withdraw(gated)) gated.refuse('deadline')
    })
    const refused = await gated.admission
    timer.dispose()
    return refused
  }

  private async _runInSlot (gated: GatedCall): Promise<AttemptOutcome> {
    gated.startedAt = this._options.clock.now()
    try {
      const outcome = markFailedTrial(gated, await this._sender.run(gated, () => this._tryStart(gated)))
      this._recordCrashOrSuccess(gated, outcome)
      return outcome
    } finally {
      this._queue.release(gated)
      this._startNext()
    }
  }

  private _recordCrashOrSuccess ({ identity }: GatedCall, outcome: AttemptOutcome): void {
    const { crashes, clock } = this._options
    if (outcome.kind === 'unknown' && outcome.crash !== undefined) crashes.recordOwn(outcome.crash, clock.now())
    if (outcome.kind === 'answered' && isServed(outcome.answer.status)) crashes.recordSuccess(identity, clock.now())
  }

  private _startNext (): void {
    const now = this._options.clock.now()
    for (;;) {
      const { next, expired } = this._queue.next(now)
      for (const request of expired) request.refuse('overloaded', this._queue.expectedWait(request, now))
      if (next === undefined) return
      next.start()
    }
  }

  /**
   * Marks the request as started if it may run, or returns the reason why it must not. Called right before the first byte is sent,
   * since the endpoint may have started to drain, the caller may have disconnected, or an identical request may have ended other
   * endpoints while the request waited for its slot or connection.
   */
  private _tryStart (gated: GatedCall): RefusalReason | undefined {
    const { call, identity, isCancelled } = gated
    const { clock, crashes } = this._options
    const now = clock.now()
    if (isCancelled) return 'cancelled'
    const isServing = this._record?.phase === 'serving' && this._record.service === call.service
    if (!isServing) return 'draining'
    if (crashes.refusalTime(identity, now) !== undefined) return 'quarantined'
    // A settle query of the calling node may have ruled out that the request runs.
    if (!this._started.markStarted(call.requestId, now)) return 'draining'
    gated.isTrial = crashes.standingOf(identity).kind === 'quarantined'
    if (gated.isTrial) crashes.beginTrial(identity, now)
    return undefined
  }

  private _cancel (gated: GatedCall): void {
    if (gated.startedAt !== undefined) this._logAbandoned(gated)
    if (this._queue.withdraw(gated)) gated.refuse('cancelled')
    // A request that must not run twice is not aborted: its caller may still learn its outcome in another way.
    else if (gated.call.repeat === 'idempotent') gated.exchange?.abort('cancelled')
  }

  private _onEndpointChanged (record: IEndpointRecord): void {
    const known = this._record
    this._record = record
    this._queue.resize(record.slots)
    if (known?.id !== record.id || known.bornAt !== record.bornAt || known.address !== record.address) this._sender.resetFor(record)
    if (record.phase === 'serving') return
    // The end of an endpoint that leaves is no crash.
    if (record.phase !== 'silent' || this._options.endpoint.isDoubted) this._sender.expectEnd()
    this.refuseQueued()
  }

  private _logAbandoned ({ call, readAt, sentAt, readIteration }: GatedCall): void {
    const { clock, log } = this._options
    log.log(CALL_ABANDONED, {
      step: 'gate.cancel',
      request: call.callerRequestId,
      route: call.route,
      endpoint: this._record?.id,
      sentAfterMs: sentAt === undefined ? undefined : sentAt - readAt,
      leftAfterMs: clock.now() - readAt,
      turns: eventLoopIterations() - readIteration
    })
  }

  private _logRefusal ({ call, readAt, readIteration }: GatedCall, reason: RefusalReason, retryAfter: Milliseconds | undefined): void {
    this._options.log.log(CALL_REFUSED_AT_GATE, {
      step: 'gate.admit',
      request: call.callerRequestId,
      route: call.route,
      rank: call.rank,
      reason,
      retryAfter,
      afterMs: this._options.clock.now() - readAt,
      turns: eventLoopIterations() - readIteration,
      endpoint: this._record?.id,
      phase: this._record?.phase,
      running: this._queue.running,
      waiting: this._queue.waiting,
      slots: this._record?.slots
    })
  }

  private _registerGauges (): void {
    const registers = [this._options.metrics.registry]
    const queue = this._queue
    const running: Gauge = new Gauge({
      name: 'savoryknot_endpoint_running', help: 'Requests that run at the endpoint. Unit: requests.', registers, collect: () => running.set(queue.running)
    })
    const waiting: Gauge = new Gauge({
      name: 'savoryknot_endpoint_waiting', help: 'Requests that wait for the endpoint. Unit: requests.', registers, collect: () => waiting.set(queue.waiting)
    })
  }
}

/** Marks the crash of the endpoint during a trial, since each failed trial delays the next one. */
function markFailedTrial ({ isTrial }: GatedCall, outcome: AttemptOutcome): AttemptOutcome {
  if (!isTrial || outcome.kind !== 'unknown' || outcome.crash === undefined) return outcome
  return { ...outcome, crash: { ...outcome.crash, kind: 'trial' } }
}
