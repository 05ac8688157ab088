/** One request of a caller, from the matched route to the final response. */
import type { IClockService, ILogService } from '../../common/Services.js'
import type { ICancellation } from '../../common/Cancellation.js'
import { createRequestId } from '../../common/Ids.js'
import { waitForPendingInput } from '../../common/PendingInput.js'
import type { Milliseconds, ServiceName, Timestamp } from '../../common/Types.js'
import type { CrashRegistry } from '../crashes/CrashRegistry.js'
import { RequestIdentity } from '../crashes/RequestIdentity.js'
import { CALL_NOT_RETRIED, CALL_RETRIED } from '../Events.js'
import type { AttemptOutcome, IMeshCall, IMeshRoute, ICompleteResponse } from '../Types.js'
import { describeOutcome, SUPERSEDED_OUTCOME, type AttemptRecord } from './AttemptRecord.js'
import type { EndpointDirectory } from './EndpointDirectory.js'
import type { EndpointView } from './EndpointView.js'
import { AbortableAttempt, firstSuccessful, isSuccessful } from './ParallelAttempts.js'
import { typicalServiceTime, type EndpointSelector } from './EndpointSelector.js'
import { mayHaveReachedEndpoint, decideRetry, type IRetryHistory } from './RetryRules.js'
import type { RetryBudgetShare } from './RetryBudgetShare.js'
import { selectTrialEndpoint } from './TrialEndpoint.js'

/** Components of the node that calls use. */
export interface ICallServices {
  readonly directory: EndpointDirectory
  readonly endpointSelector: EndpointSelector
  readonly retryBudget: RetryBudgetShare
  readonly crashes: CrashRegistry
  readonly clock: IClockService
  readonly log: ILogService
}

/** A request that has been matched to a route. */
export interface IRoutedRequest {
  readonly route: IMeshRoute
  /** The service of the route that was selected for the request. */
  readonly service: ServiceName
  readonly callerRequestId: string | undefined
  readonly callerService: string
  readonly method: string
  readonly path: string
  readonly fields: readonly string[]
  readonly body: Buffer | undefined
  readonly arrivedAt: Timestamp
  readonly deadlineAt: Timestamp
  /** Cancelled when the caller disconnects. */
  readonly cancellation: ICancellation
  /** True once the node is shutting down and no further attempt may start. */
  readonly isStopping: () => boolean
}

/** Final result of a call. */
export type CallResult =
  | { readonly kind: 'answered', readonly answer: ICompleteResponse }
  /** Did not run and never will. */
  | { readonly kind: 'refused', readonly reason: string, readonly retryAfter: Milliseconds }
  /** May have run. */
  | { readonly kind: 'unknown', readonly reason: string }

/** Multiple of the expected time after which an idempotent request is hedged: sent to a second endpoint in parallel. */
const HEDGE_FACTOR = 2.2
/** Minimum delay before a hedge, so that requests that take a few milliseconds are not duplicated because of small variations. */
const MINIMUM_HEDGE_DELAY_MS = 120
/** Minimum retry delay that is stated to a caller. */
const MINIMUM_RETRY_AFTER_MS = 50
/** Retry delay that is stated to a caller if no endpoint is reachable. */
const NO_ENDPOINT_RETRY_AFTER_MS = 300

/** Sends the request to one endpoint after another until there is a final result. */
export class CallTask {
  private readonly _tried = new Set<EndpointView>()
  private _arrivals = 0
  private _capacityRefusals = 0
  private _mayHaveRun = false
  /** Response of an endpoint that failed; returned to the caller if no other attempt succeeds. */
  private _failureResponse: ICompleteResponse | undefined
  private _retryAfter: Milliseconds | undefined
  private readonly _records: AttemptRecord[] = []
  private readonly _identity: RequestIdentity

  constructor (private readonly _services: ICallServices, private readonly _request: IRoutedRequest) {
    this._identity = new RequestIdentity(_request)
  }

  /** Number of attempts made. */
  public get tries (): number {
    return this._records.length
  }

  /** Attempts in the order of their start. */
  public get records (): readonly AttemptRecord[] {
    return this._records
  }

  /** Endpoint of the last attempt; empty if there was none. */
  public get lastEndpoint (): string {
    return this._records.at(-1)?.endpoint ?? ''
  }

  /** Runs the request until its final result. Never rejects. */
  public async run (): Promise<CallResult> {
    const { retryBudget, clock, crashes } = this._services
    retryBudget.recordRequest(this._request.service, clock.now())
    for (;;) {
      const now = clock.now()
      if (this._request.cancellation.isCancelled) return this._conclude({ kind: 'refused', reason: 'cancelled' })
      const quarantinedFor = crashes.refusalTime(this._identity, now)
      if (quarantinedFor !== undefined) return this._concludeQuarantined(quarantinedFor)
      const view = this._choose(now)
      if (view === undefined) return this._conclude({ kind: 'refused', reason: this._retryAfter === undefined ? 'no-endpoint' : 'overloaded' })
      const outcome = await this._attemptWithHedge(view, now)
      // The disconnect of the caller may have arrived together with the refusal or failure; it has to be read before a retry.
      if (!this._isCancelledOrStopping && !isSuccessful(outcome)) await waitForPendingInput()
      if (!this._shouldRetry(outcome, clock.now())) return this._conclude(outcome)
    }
  }

  /** Makes one attempt and, if it is slow and the request is idempotent, a second attempt in parallel. The first success wins. */
  private async _attemptWithHedge (view: EndpointView, now: Timestamp): Promise<AttemptOutcome> {
    const first = new AbortableAttempt(this._request.cancellation)
    const running = this._attempt(view, now, first)
    if (this._request.route.repeat !== 'idempotent') return await running
    const expected = this._services.endpointSelector.expectedTime(view, typicalServiceTime([view]), now)
    const isSlow = await this._isRunningAfter(running, Math.max(MINIMUM_HEDGE_DELAY_MS, expected * HEDGE_FACTOR) as Milliseconds)
    const other = isSlow ? this._chooseHedge(this._services.clock.now()) : undefined
    if (other === undefined) return await running
    const second = new AbortableAttempt(this._request.cancellation)
    const hedge = this._attempt(other, this._services.clock.now(), second)
    const winner = await firstSuccessful(running, hedge)
    first.abort()
    second.abort()
    this._recordSuperseded(this._services.clock.now())
    return winner
  }

  /** Completes the log records of cancelled attempts. An attempt that finishes later overwrites the outcome with its own. */
  private _recordSuperseded (now: Timestamp): void {
    for (const record of this._records) {
      if (record.outcome !== undefined) continue
      record.tookMs = now - this._request.arrivedAt - record.afterMs
      record.outcome = SUPERSEDED_OUTCOME
    }
  }

  /** True if the attempt is still running after `delay`. */
  private _isRunningAfter (running: Promise<AttemptOutcome>, delay: Milliseconds): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = this._services.clock.after(delay, () => resolve(true))
      running.then(() => {
        timer.dispose()
        resolve(false)
      }, () => resolve(false))
    })
  }

  /** Selects an endpoint for a hedge, if the attempt limit, the deadline and the retry budget share allow one. */
  private _chooseHedge (now: Timestamp): EndpointView | undefined {
    const { retryBudget, directory, log, crashes } = this._services
    const { route, service, deadlineAt, callerRequestId } = this._request
    if (crashes.standingOf(this._identity).kind !== 'clear') return undefined
    if (this._isCancelledOrStopping || this._arrivals + 1 >= route.attempts) return undefined
    const view = this._choose(now)
    if (view === undefined) return undefined
    const expectedAt = now + this._services.endpointSelector.expectedTime(view, typicalServiceTime([view]), now)
    if (expectedAt >= deadlineAt) return undefined
    if (!retryBudget.tryAcquire(service, directory.nodes, now)) {
      this._logRetryBlocked('allowance')
      return undefined
    }
    log.log(CALL_RETRIED, {
      step: 'calls.hedge', request: callerRequestId, route: route.name, endpoint: this.lastEndpoint, outcome: 'late', tries: this.tries
    })
    return view
  }

  private _choose (now: Timestamp): EndpointView | undefined {
    const { endpointSelector } = this._services
    const { route, arrivedAt } = this._request
    const candidates: EndpointView[] = []
    for (const view of this._permittedEndpoints(now)) {
      if (this._tried.has(view)) continue
      const capacityAt = view.capacityExpectedAt(route.rank, now)
      if (capacityAt === undefined) candidates.push(view)
      else this._recordRetryAfter(capacityAt - now as Milliseconds)
    }
    return endpointSelector.choose(candidates, { objective: route.objective, left: arrivedAt + route.objective - now as Milliseconds }, now)
  }

  /** Endpoints that may be sent the request. A trial of a quarantined request goes to the same endpoint from all nodes. */
  private _permittedEndpoints (now: Timestamp): readonly EndpointView[] {
    const { directory, crashes } = this._services
    const views = directory.candidates(this._request.service, now)
    if (crashes.standingOf(this._identity).kind !== 'quarantined') return views
    const trialEndpoint = selectTrialEndpoint(views, this._identity.fingerprint)
    return trialEndpoint === undefined ? [] : [trialEndpoint]
  }

  private async _attempt (view: EndpointView, now: Timestamp, cancellation: ICancellation): Promise<AttemptOutcome> {
    const { clock, directory, endpointSelector } = this._services
    const expected = endpointSelector.expectedTime(view, typicalServiceTime([view]), now) as Milliseconds
    this._tried.add(view)
    const record: AttemptRecord = {
      node: view.target.node.node,
      endpoint: view.target.endpoint.id,
      afterMs: now - this._request.arrivedAt,
      expectedMs: Math.round(expected)
    }
    this._records.push(record)
    const outcome = await directory.execute(view, this._callTo(view), expected, cancellation)
    record.connectMs = outcome.connectTime
    record.tookMs = clock.now() - now
    record.handledMs = outcome.load?.handled
    record.outcome = describeOutcome(outcome)
    if (mayHaveReachedEndpoint(outcome)) this._arrivals++
    if (outcome.kind === 'unknown') this._mayHaveRun = true
    if (outcome.kind === 'answered') this._failureResponse = outcome.answer
    this._recordCrashOrSuccess(outcome, view, clock.now())
    if (outcome.kind === 'refused' && outcome.reason === 'overloaded') this._capacityRefusals++
    if (outcome.kind === 'refused' && outcome.retryAfter !== undefined) this._recordRetryAfter(outcome.retryAfter)
    return outcome
  }

  private _recordCrashOrSuccess (outcome: AttemptOutcome, view: EndpointView, now: Timestamp): void {
    const { crashes } = this._services
    if (outcome.kind === 'unknown' && outcome.crash !== undefined) crashes.recordReceived(outcome.crash, view.target.node.node, now)
    if (isSuccessful(outcome)) crashes.recordSuccess(this._identity, now)
  }

  private _callTo (view: EndpointView): IMeshCall {
    const { route, service, callerRequestId, callerService, method, path, fields, body, arrivedAt, deadlineAt } = this._request
    return {
      requestId: createRequestId(),
      callerRequestId,
      route: route.name,
      service,
      endpoint: view.target.endpoint.id,
      callerService,
      repeat: route.repeat,
      rank: route.rank,
      objectiveAt: arrivedAt + route.objective as Timestamp,
      deadlineAt,
      method,
      path,
      fields,
      body
    }
  }

  private _shouldRetry (outcome: AttemptOutcome, now: Timestamp): boolean {
    const { log } = this._services
    const { route, deadlineAt, callerRequestId } = this._request
    const subject = { repeat: route.repeat, attempts: route.attempts, deadlineAt, isCancelled: this._isCancelledOrStopping }
    const decision = decideRetry(subject, outcome, this._retryHistory, now)
    if (decision === 'final' || this._services.crashes.refusalTime(this._identity, now) !== undefined) return false
    if (decision === 'again-if-allowed' && this._isRetryBlocked(now)) return false
    log.log(CALL_RETRIED, {
      step: 'calls.repeat',
      request: callerRequestId,
      route: route.name,
      endpoint: this.lastEndpoint,
      outcome: outcome.kind,
      reason: outcome.kind === 'answered' ? String(outcome.answer.status) : outcome.reason,
      arrivals: this._arrivals,
      tries: this.tries
    })
    return true
  }

  private get _isCancelledOrStopping (): boolean {
    return this._request.cancellation.isCancelled || this._request.isStopping()
  }

  /**
   * True if no other endpoint is available or the retry budget share is exhausted. The endpoint is looked for before the retry starts:
   * without one, the result of the last attempt is worth more to the caller than a refusal because no endpoint is left.
   */
  private _isRetryBlocked (now: Timestamp): boolean {
    const { retryBudget, directory } = this._services
    const hasOtherEndpoint = this._choose(now) !== undefined
    if (hasOtherEndpoint && retryBudget.tryAcquire(this._request.service, directory.nodes, now)) return false
    this._logRetryBlocked(hasOtherEndpoint ? 'allowance' : 'no other endpoint')
    return true
  }

  private _logRetryBlocked (reason: string): void {
    const { callerRequestId, route } = this._request
    this._services.log.log(CALL_NOT_RETRIED, {
      step: 'calls.repeat', request: callerRequestId, route: route.name, endpoint: this.lastEndpoint, reason, tries: this.tries
    })
  }

  private get _retryHistory (): IRetryHistory {
    return { arrivals: this._arrivals, tries: this.tries, capacityRefusals: this._capacityRefusals }
  }

  private _recordRetryAfter (delay: Milliseconds): void {
    this._retryAfter = Math.min(this._retryAfter ?? Infinity, delay) as Milliseconds
  }

  private _concludeQuarantined (duration: Milliseconds): CallResult {
    this._retryAfter = duration
    return this._conclude({ kind: 'refused', reason: 'quarantined' })
  }

  private _conclude (outcome: AttemptOutcome): CallResult {
    if (outcome.kind === 'answered') return outcome
    if (this._failureResponse !== undefined) return { kind: 'answered', answer: this._failureResponse }
    if (outcome.kind === 'unknown') return outcome
    if (this._mayHaveRun) return { kind: 'unknown', reason: `an earlier attempt may have run; the last attempt was refused: ${outcome.reason}` }
    const delay = this._retryAfter ?? (outcome.reason === 'shed' ? MINIMUM_RETRY_AFTER_MS : NO_ENDPOINT_RETRY_AFTER_MS)
    return { kind: 'refused', reason: outcome.reason, retryAfter: Math.max(MINIMUM_RETRY_AFTER_MS, delay) as Milliseconds }
  }
}
