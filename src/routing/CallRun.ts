/** All attempts of one call. */
import type { IClockService, IInvariantService, ILogService, IRandomService } from '../common/Services.js'
import type { Milliseconds, NodeId, ServiceName, Timestamp } from '../common/Types.js'
import type { IGateService } from '../gate/Services.js'
import type { CallOutcome, IAnswerSink } from '../gate/Types.js'
import type { IMembershipService } from '../membership/Services.js'
import { AttemptSink } from './AttemptSink.js'
import { CallBody } from './CallBody.js'
import type { EndpointPool } from './EndpointPool.js'
import type { EndpointStatistics } from './EndpointStatistics.js'
import type { OutcomeObserver } from './OutcomeObserver.js'
import type { RetryBudget } from './RetryBudget.js'
import { backoffAfter, hasTimeForAttempt, isReselectionAllowed, isRetryAllowed, SERVICE_UNAVAILABLE } from './RetryRules.js'
import type { IResolvedRoute, RoutedCall } from './RoutedCall.js'
import type { IRemoteGates } from './Types.js'

const STEP = 'router.choose'

/** Dependencies of `CallRun`, shared by all calls of a router. */
export interface ICallRunOptions {
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly invariants: IInvariantService
  readonly membership: Pick<IMembershipService, 'endpoints'>
  /** This node; undefined in a process without a gate. */
  readonly self: NodeId | undefined
  readonly localGate: IGateService | undefined
  readonly remoteGates: IRemoteGates
  readonly observer: OutcomeObserver
  readonly endpointPool: (service: ServiceName) => EndpointPool
  readonly retryBudget: (service: ServiceName) => RetryBudget
  readonly onRetryDenied: (service: ServiceName, now: Timestamp) => void
}

/** Runs the attempts of one call: selects an endpoint, sends the request, and decides whether to retry. */
export class CallRun {
  private readonly _pool: EndpointPool
  private readonly _budget: RetryBudget
  private readonly _body: CallBody
  private _excluded: EndpointStatistics[] = []
  private _attempts = 0
  private _reselections = 0
  /** True after an attempt that may have reached an upstream; the outcome of the call is then never `not-run`. */
  private _mayHaveRun = false

  constructor (
    private readonly _options: ICallRunOptions,
    private readonly _call: RoutedCall,
    private readonly _resolved: IResolvedRoute,
    private readonly _sink: IAnswerSink
  ) {
    this._pool = _options.endpointPool(_call.targetService)
    this._budget = _options.retryBudget(_call.service)
    this._body = new CallBody(_call.body, _resolved.limit?.requestBytes ?? Number.MAX_SAFE_INTEGER)
  }

  /** Attempts made so far, including retries. */
  public get attempts (): number {
    return this._attempts
  }

  /** Runs attempts until the outcome of the call is final. Never rejects. */
  public async run (start: Timestamp): Promise<CallOutcome> {
    if (this._call.body !== undefined) {
      const refusal = await this._body.prepare(this._call, this._options.clock)
      if (refusal !== undefined) return { kind: 'not-run', reason: refusal, step: 'router.body' }
    }
    // Calls behind the first hop are never retried, so they add nothing to the retry budget.
    if (this._resolved.retry !== undefined && this._call.depth === 0) this._budget.deposit(this._resolved.retry.budget)
    let now = start
    for (;;) {
      const outcome = await this._attempt(now)
      if (outcome.kind === 'answered' && outcome.status !== SERVICE_UNAVAILABLE) return outcome
      now = this._options.clock.now()
      const backoff = this._backoffBeforeNextAttempt(outcome, now)
      if (backoff === undefined) return this._toCallOutcome(outcome)
      if (backoff > 0) await this._options.clock.sleep(backoff)
      now = this._options.clock.now()
    }
  }

  private async _attempt (now: Timestamp): Promise<CallOutcome> {
    const chosen = this._choose(now)
    if (chosen === undefined) return { kind: 'not-run', reason: 'no-endpoint', step: STEP }
    const { observer, localGate, remoteGates, clock, self } = this._options
    const target = localGate !== undefined && chosen.endpoint.node === self ? localGate : remoteGates.target(chosen.endpoint)
    const sink = new AttemptSink({
      sink: this._sink,
      limitBytes: this._resolved.limit?.responseBytes ?? Number.MAX_SAFE_INTEGER,
      shouldDiscard: this._shouldDiscard,
      clock
    })
    this._attempts++
    chosen.outstanding++
    const attemptOutcome = await target.execute(this._call, sink)
    chosen.outstanding--
    const outcome = this._applySizeLimits(attemptOutcome, sink)
    if (outcome.kind !== 'not-run') this._mayHaveRun = true
    this._excluded.push(chosen)
    observer.observe({ chosen, outcome, sink, startedAt: now, pool: this._pool, resource: this._resolved.pool, now: clock.now() })
    return outcome
  }

  /**
   * Selects the local gate if it is preferred and its upstream can start the call immediately; otherwise the balancer
   * selects an endpoint.
   */
  private _choose (now: Timestamp): EndpointStatistics | undefined {
    const { membership, localGate, self } = this._options
    const { pool: resource } = this._resolved
    this._pool.update(membership.endpoints(this._call.targetService), now)
    const preferred = this._pool.preferred(resource, this._excluded, now)
    if (preferred.length === 0) return undefined
    const comparisonEndpoint = this._attempts === 0 ? this._pool.chooseForComparison(preferred, now) : undefined
    if (comparisonEndpoint !== undefined) return comparisonEndpoint
    if (localGate !== undefined) {
      const local = preferred.find((candidate) => candidate.endpoint.node === self)
      if (local !== undefined && this._canStartLocally(localGate, local, now)) return local
    }
    return this._pool.choose(resource, preferred, now)
  }

  private _canStartLocally (gate: IGateService, local: EndpointStatistics, now: Timestamp): boolean {
    const service = this._call.targetService
    const occupancy = gate.occupancy(service)
    if (occupancy !== undefined) local.reportOccupancy(occupancy.used + occupancy.queued, now)
    const hasUsableSlot = local.usableSlots(this._resolved.pool.slowStart, now) > local.estimatedLoad(now)
    return hasUsableSlot && gate.hasFreeSlot(service)
  }

  private _applySizeLimits (attemptOutcome: CallOutcome, sink: AttemptSink): CallOutcome {
    if (sink.isTooLarge) return { kind: 'unknown', reason: 'answer too large', step: 'router.answer' }
    if (!this._body.isTooLarge || attemptOutcome.kind === 'answered') return attemptOutcome
    if (attemptOutcome.kind === 'not-run') return { ...attemptOutcome, reason: 'too-large' }
    return { ...attemptOutcome, reason: 'request body too large' }
  }

  /** Returns the delay before the next attempt; undefined if there is no further attempt. */
  private _backoffBeforeNextAttempt (outcome: CallOutcome, now: Timestamp): Milliseconds | undefined {
    if (this._sink.hasBegun || !this._body.isReplayable || this._pool.all.length === 0) return undefined
    if (isReselectionAllowed(this._call, outcome, this._reselections, now) && this._hasUntriedEndpoint()) {
      this._reselections++
      return 0 as Milliseconds
    }
    const { retry } = this._resolved
    if (!isRetryAllowed(this._call, outcome, this._attempts - this._reselections, retry) || retry === undefined) return undefined
    const backoff = backoffAfter(outcome, retry, this._attempts, this._options.random)
    if (!hasTimeForAttempt(this._call, backoff, now)) return undefined
    // For a discarded 503 response the token has been withdrawn already, see `_shouldDiscard`.
    if (outcome.kind !== 'answered' && !this._withdrawToken(now)) return undefined
    if (!this._hasUntriedEndpoint()) this._excluded = []
    return backoff
  }

  private _hasUntriedEndpoint (): boolean {
    return this._excluded.length < this._pool.all.length
  }

  private _withdrawToken (now: Timestamp): boolean {
    if (this._budget.withdraw()) return true
    this._options.onRetryDenied(this._call.service, now)
    return false
  }

  /** Decides whether to discard a 503 response: only if the next attempt is certain to be allowed. */
  private readonly _shouldDiscard = (): boolean => {
    const { retry } = this._resolved
    const outcome: CallOutcome = { kind: 'answered', status: SERVICE_UNAVAILABLE }
    if (retry === undefined || !this._body.isReplayable) return false
    if (!isRetryAllowed(this._call, outcome, this._attempts - this._reselections, retry)) return false
    const now = this._options.clock.now()
    return hasTimeForAttempt(this._call, retry.backoffLimit, now) && this._withdrawToken(now)
  }

  /** Converts the last outcome into the outcome of the call: `not-run` only if no attempt may have run. */
  private _toCallOutcome (outcome: CallOutcome): CallOutcome {
    if (outcome.kind === 'answered' && !this._sink.hasBegun) return { kind: 'unknown', reason: 'upstream shed the request', step: 'router.retry' }
    if (outcome.kind !== 'not-run' || !this._mayHaveRun) return outcome
    return { kind: 'unknown', reason: `an earlier attempt may have run; the last was refused: ${outcome.reason}`, step: outcome.step, peer: outcome.peer }
  }
}
