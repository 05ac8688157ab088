/** One request of a caller, from its route to its final answer. */
import type { IClockService, ILogService } from '../../common/Services.js'
import type { ICancellation } from '../../common/Cancellation.js'
import { createRequestId } from '../../common/Ids.js'
import { waitForPendingInput } from '../../common/PendingInput.js'
import type { Milliseconds, ServiceName, Timestamp } from '../../common/Types.js'
import { CALL_NOT_REPEATED, CALL_REPEATED } from '../Events.js'
import type { AttemptOutcome, IMeshCall, IMeshRoute, IWholeAnswer } from '../Types.js'
import { describeOutcome, LOST_ATTEMPT, type AttemptRecord } from './AttemptRecord.js'
import type { EndpointDirectory } from './EndpointDirectory.js'
import type { EndpointView } from './EndpointView.js'
import { AbortableAttempt, firstUseful, isUseful } from './ParallelAttempts.js'
import { typicalServiceTime, type Placement } from './Placement.js'
import { hasArrived, judgeRepeat, type IRepeatHistory } from './RepeatRules.js'
import type { RetryAllowance } from './RetryAllowance.js'

/** What calls use of the node. */
export interface ICallServices {
  readonly directory: EndpointDirectory
  readonly placement: Placement
  readonly allowance: RetryAllowance
  readonly clock: IClockService
  readonly log: ILogService
}

/** A request that has been matched to a route. */
export interface IRoutedRequest {
  readonly route: IMeshRoute
  /** The part of the route's traffic that the request belongs to. */
  readonly service: ServiceName
  readonly callerRequestId: string | undefined
  readonly callerService: string
  readonly method: string
  readonly path: string
  readonly fields: readonly string[]
  readonly body: Buffer | undefined
  readonly arrivedAt: Timestamp
  readonly deadlineAt: Timestamp
  /** Cancelled when the caller goes away. */
  readonly cancellation: ICancellation
  /** True once the node ends, and no further attempt may begin. */
  readonly isEnding: () => boolean
}

/** The final answer. */
export type CallResult =
  | { readonly kind: 'answered', readonly answer: IWholeAnswer }
  /** Not run, and never will be. */
  | { readonly kind: 'refused', readonly reason: string, readonly retryAfter: Milliseconds }
  /** May have run. */
  | { readonly kind: 'unknown', readonly reason: string }

/** Multiple of the expected time after which an idempotent request is sent to a second endpoint as well. */
const HEDGE_FACTOR = 2.2
/** Shortest wait before that, so that requests of a few milliseconds are not doubled by chance. */
const LEAST_HEDGE_DELAY_MS = 120
/** Shortest time after which a caller is asked to come again. */
const LEAST_RETRY_AFTER_MS = 50
/** Time after which a caller is asked to come again where no endpoint can be reached. */
const NO_ENDPOINT_RETRY_AFTER_MS = 300

/** Sends the request to one endpoint after the other until there is a final answer. */
export class CallTask {
  private readonly _tried = new Set<EndpointView>()
  private _arrivals = 0
  private _refusalsForRoom = 0
  private _mayHaveRun = false
  /** Answer of an endpoint that failed, for want of a better one. */
  private _failedAnswer: IWholeAnswer | undefined
  private _retryAfter: Milliseconds | undefined
  private readonly _records: AttemptRecord[] = []

  constructor (private readonly _services: ICallServices, private readonly _request: IRoutedRequest) {}

  /** Attempts made. */
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

  /** Runs the request to its final answer. Never rejects. */
  public async run (): Promise<CallResult> {
    const { allowance, clock } = this._services
    allowance.noteRequest(this._request.service, clock.now())
    for (;;) {
      const now = clock.now()
      if (this._request.cancellation.isCancelled) return this._conclude({ kind: 'refused', reason: 'cancelled' })
      const view = this._choose(now)
      if (view === undefined) return this._conclude({ kind: 'refused', reason: this._retryAfter === undefined ? 'no-endpoint' : 'overloaded' })
      const outcome = await this._attemptHedged(view, now)
      // The caller's leaving may have arrived together with the refusal or failure.
      if (!this._mustNotGoOn && !isUseful(outcome)) await waitForPendingInput()
      if (!this._mayGoOn(outcome, clock.now())) return this._conclude(outcome)
    }
  }

  /** One attempt; if it takes unusually long and the request may run twice, a second one beside it. The first answer counts. */
  private async _attemptHedged (view: EndpointView, now: Timestamp): Promise<AttemptOutcome> {
    const first = new AbortableAttempt(this._request.cancellation)
    const running = this._attempt(view, now, first)
    if (this._request.route.repeat !== 'idempotent') return await running
    const expected = this._services.placement.expectedTime(view, typicalServiceTime([view]), now)
    const isLate = await this._isLate(running, Math.max(LEAST_HEDGE_DELAY_MS, expected * HEDGE_FACTOR) as Milliseconds)
    const other = isLate ? this._chooseHedge(this._services.clock.now()) : undefined
    if (other === undefined) return await running
    const second = new AbortableAttempt(this._request.cancellation)
    const hedge = this._attempt(other, this._services.clock.now(), second)
    const winner = await firstUseful(running, hedge)
    first.abort()
    second.abort()
    this._noteLost(this._services.clock.now())
    return winner
  }

  /** For the log; an attempt that ends later tells its own outcome then. */
  private _noteLost (now: Timestamp): void {
    for (const record of this._records) {
      if (record.outcome !== undefined) continue
      record.tookMs = now - this._request.arrivedAt - record.afterMs
      record.outcome = LOST_ATTEMPT
    }
  }

  /** True if the attempt has not ended after `delay`. */
  private _isLate (running: Promise<AttemptOutcome>, delay: Milliseconds): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = this._services.clock.after(delay, () => resolve(true))
      running.then(() => {
        timer.dispose()
        resolve(false)
      }, () => resolve(false))
    })
  }

  /** Another endpoint for a request whose first attempt is late, if the rules and the shared allowance let it have one. */
  private _chooseHedge (now: Timestamp): EndpointView | undefined {
    const { allowance, directory, log } = this._services
    const { route, service, deadlineAt, callerRequestId } = this._request
    if (this._mustNotGoOn || this._arrivals + 1 >= route.attempts) return undefined
    const view = this._choose(now)
    if (view === undefined) return undefined
    const answerAt = now + this._services.placement.expectedTime(view, typicalServiceTime([view]), now)
    if (answerAt >= deadlineAt) return undefined
    if (!allowance.take(service, directory.nodes, now)) {
      this._logNotRepeated('allowance')
      return undefined
    }
    log.log(CALL_REPEATED, {
      step: 'calls.hedge', request: callerRequestId, route: route.name, endpoint: this.lastEndpoint, outcome: 'late', tries: this.tries
    })
    return view
  }

  private _choose (now: Timestamp): EndpointView | undefined {
    const { directory, placement } = this._services
    const { service, route, arrivedAt } = this._request
    const candidates: EndpointView[] = []
    for (const view of directory.candidates(service, now)) {
      if (this._tried.has(view)) continue
      const roomAt = view.roomAt(route.rank, now)
      if (roomAt === undefined) candidates.push(view)
      else this._noteRetryAfter(roomAt - now as Milliseconds)
    }
    return placement.choose(candidates, { objective: route.objective, left: arrivedAt + route.objective - now as Milliseconds }, now)
  }

  private async _attempt (view: EndpointView, now: Timestamp, cancellation: ICancellation): Promise<AttemptOutcome> {
    const { clock, directory, placement } = this._services
    const expected = placement.expectedTime(view, typicalServiceTime([view]), now) as Milliseconds
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
    if (hasArrived(outcome)) this._arrivals++
    if (outcome.kind === 'unknown') this._mayHaveRun = true
    if (outcome.kind === 'answered') this._failedAnswer = outcome.answer
    if (outcome.kind === 'refused' && outcome.reason === 'overloaded') this._refusalsForRoom++
    if (outcome.kind === 'refused' && outcome.retryAfter !== undefined) this._noteRetryAfter(outcome.retryAfter)
    return outcome
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

  private _mayGoOn (outcome: AttemptOutcome, now: Timestamp): boolean {
    const { log } = this._services
    const { route, deadlineAt, callerRequestId } = this._request
    const subject = { repeat: route.repeat, attempts: route.attempts, deadlineAt, isCancelled: this._mustNotGoOn }
    const verdict = judgeRepeat(subject, outcome, this._history, now)
    if (verdict === 'final') return false
    if (verdict === 'again-if-allowed' && this._isBarred(now)) return false
    log.log(CALL_REPEATED, {
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

  private get _mustNotGoOn (): boolean {
    return this._request.cancellation.isCancelled || this._request.isEnding()
  }

  /** An answer is worth more than a refusal for want of another endpoint, which therefore is looked for first. */
  private _isBarred (now: Timestamp): boolean {
    const { allowance, directory } = this._services
    const hasOther = this._choose(now) !== undefined
    if (hasOther && allowance.take(this._request.service, directory.nodes, now)) return false
    this._logNotRepeated(hasOther ? 'allowance' : 'no other endpoint')
    return true
  }

  private _logNotRepeated (reason: string): void {
    const { callerRequestId, route } = this._request
    this._services.log.log(CALL_NOT_REPEATED, {
      step: 'calls.repeat', request: callerRequestId, route: route.name, endpoint: this.lastEndpoint, reason, tries: this.tries
    })
  }

  private get _history (): IRepeatHistory {
    return { arrivals: this._arrivals, tries: this.tries, refusalsForRoom: this._refusalsForRoom }
  }

  private _noteRetryAfter (wait: Milliseconds): void {
    this._retryAfter = Math.min(this._retryAfter ?? Infinity, wait) as Milliseconds
  }

  private _conclude (outcome: AttemptOutcome): CallResult {
    if (outcome.kind === 'answered') return outcome
    if (this._failedAnswer !== undefined) return { kind: 'answered', answer: this._failedAnswer }
    if (outcome.kind === 'unknown') return outcome
    if (this._mayHaveRun) return { kind: 'unknown', reason: `an earlier attempt may have run; the last was refused: ${outcome.reason}` }
    const wait = this._retryAfter ?? (outcome.reason === 'shed' ? LEAST_RETRY_AFTER_MS : NO_ENDPOINT_RETRY_AFTER_MS)
    return { kind: 'refused', reason: outcome.reason, retryAfter: Math.max(LEAST_RETRY_AFTER_MS, wait) as Milliseconds }
  }
}
