/** Runs a call at an endpoint: fingerprint inspection, admission, exchange, outcome. */
import type { Readable } from 'node:stream'
import type { IClockService, IInvariantService, ILogService } from '../common/Services.js'
import type { RequestFingerprint, Timestamp } from '../common/Types.js'
import type { ISnapshotService } from '../distribution/Services.js'
import type { ClaimService } from './ClaimService.js'
import type { CrashGuard } from './CrashGuard.js'
import { RESPONSE_REJECTED } from './Events.js'
import type { GateMetrics } from './GateMetrics.js'
import { fingerprintOf, readBodyStartByDeadline, FINGERPRINT_BODY_BYTES } from './BodyStart.js'
import { findBodyLimits, type IBodyLimits } from './RouteLimits.js'
import type { StartedRequests } from './StartedRequests.js'
import type { CallOutcome, IAnswerSink, ICall, NotRunReason } from './Types.js'
import type { UpstreamConnection } from './UpstreamConnections.js'
import type { UpstreamEndpoint } from './UpstreamEndpoint.js'
import { UpstreamExchange, type ExchangeEnd } from './UpstreamExchange.js'

/** Dependencies of `CallRunner`. */
export interface ICallRunnerOptions {
  readonly clock: IClockService
  readonly log: ILogService
  readonly invariants: IInvariantService
  readonly snapshots: ISnapshotService
  readonly metrics: GateMetrics
  readonly claims: ClaimService
  readonly guard: CrashGuard
  readonly started: StartedRequests
  /** Limits of routes that reference no limit resource. */
  readonly bodyLimits: IBodyLimits
}

/** Maximum number of connections tried for a call when each of them turns out to have been closed while idle. */
const MAXIMUM_CONNECTION_ATTEMPTS = 3
const NO_BODY = Buffer.alloc(0)

/** Request body: a stream, its complete content, or none. */
export type Body = Readable | Buffer | undefined

/** Result of checking a call against the crash guard. */
interface IInspection {
  readonly body: Body
  readonly refusal?: NotRunReason
  /** Fingerprint of the call if it is suspect and must run alone. */
  readonly suspect?: RequestFingerprint
}

/** Runs calls that have passed the initial checks of the gate. */
export class CallRunner {
  constructor (private readonly _options: ICallRunnerOptions) {}

  /** Acquires a slot for a call and runs the call in it. */
  public async run (endpoint: UpstreamEndpoint, call: ICall, sink: IAnswerSink, body: Body): Promise<CallOutcome> {
    const { clock } = this._options
    let inspection: IInspection = this._needsInspection(call) ? await this._inspect(call, body) : { body }
    for (;;) {
      if (inspection.refusal !== undefined) return notRun(inspection.refusal)
      const admission = endpoint.admit(call, inspection.suspect !== undefined, clock.now())
      const refusal = admission instanceof Promise ? await this._awaitAdmission(admission) : admission
      if (refusal !== undefined) return notRun(refusal)
      const latest = admission instanceof Promise ? await this._inspectAgain(call, inspection) : inspection
      if (latest.refusal === undefined && latest.suspect === inspection.suspect) return await this._runInSlot(endpoint, call, sink, latest)
      endpoint.release(clock.now())
      inspection = latest
    }
  }

  private _needsInspection (call: ICall): boolean {
    return this._options.guard.hasRecords(call.service, call.route)
  }

  /** Repeats the inspection after queueing: a crash at any gate may have made the call suspect in the meantime. */
  private async _inspectAgain (call: ICall, inspection: IInspection): Promise<IInspection> {
    if (inspection.suspect !== undefined || !this._needsInspection(call)) return inspection
    return await this._inspect(call, inspection.body)
  }

  private async _awaitAdmission (admission: Promise<NotRunReason | undefined>): Promise<NotRunReason | undefined> {
    const stopTimer = this._options.metrics.queueWait.startTimer()
    const refusal = await admission
    stopTimer()
    return refusal
  }

  /** Computes the fingerprint of a call and how it may run. */
  private async _inspect (call: ICall, body: Body): Promise<IInspection> {
    let inspectedBody = body
    let start: Buffer = NO_BODY
    if (Buffer.isBuffer(body)) start = body
    else if (body !== undefined) {
      const bodyStart = await readBodyStartByDeadline(body, FINGERPRINT_BODY_BYTES, call.deadlineAt, this._options.clock)
      if (bodyStart === undefined) return { body, refusal: 'cancelled' }
      start = bodyStart.content
      inspectedBody = bodyStart.isWhole ? bodyStart.content : body
    }
    const fingerprint = fingerprintOf(call, start)
    const standing = this._options.guard.standingOf(fingerprint, this._options.clock.now())
    if (standing === 'quarantined') return { body: inspectedBody, refusal: 'quarantined' }
    return { body: inspectedBody, suspect: standing === 'suspect' ? fingerprint : undefined }
  }

  private async _runInSlot (endpoint: UpstreamEndpoint, call: ICall, sink: IAnswerSink, inspection: IInspection): Promise<CallOutcome> {
    const { clock } = this._options
    try {
      for (let attempt = 1; ; attempt++) {
        const connection = endpoint.connections.tryAcquire() ?? await this._openConnection(endpoint)
        if (connection === undefined) return notRun('unreachable')
        const exchange = this._createExchange(endpoint, call, sink, inspection.body)
        const end = await endpoint.run(exchange, connection, inspection.suspect !== undefined)
        if (end.kind === 'not-started' && end.isStale && attempt < MAXIMUM_CONNECTION_ATTEMPTS) continue
        if (end.kind === 'whole' && inspection.suspect !== undefined) this._options.guard.recordIsolatedSuccess(call, inspection.suspect, clock.now())
        return this._toOutcome(end, exchange)
      }
    } finally {
      endpoint.release(clock.now())
    }
  }

  private _openConnection (endpoint: UpstreamEndpoint): Promise<UpstreamConnection | undefined> {
    return endpoint.connections.acquire().catch(() => undefined)
  }

  private _createExchange (endpoint: UpstreamEndpoint, call: ICall, sink: IAnswerSink, body: Body): UpstreamExchange {
    const { clock, snapshots, bodyLimits } = this._options
    const limits = findBodyLimits(snapshots.current, call.service, call.route, bodyLimits)
    const onStarting = (): NotRunReason | undefined => this._onStarting(endpoint, call, clock.now())
    const { requestBytes, responseBytes } = limits
    return new UpstreamExchange({ call, sink, body, clock, onStarting, requestBytes, responseBytes })
  }

  /** Last check before the first byte is sent; afterwards the request counts as started. */
  private _onStarting (endpoint: UpstreamEndpoint, call: ICall, now: Timestamp): NotRunReason | undefined {
    if (now >= call.deadlineAt) return 'deadline'
    if (call.isCancelled) return 'cancelled'
    const refusal = endpoint.refusal(now)
    if (refusal !== undefined && refusal !== 'draining') return refusal
    const { invariants } = this._options
    if (!invariants.check(endpoint.state !== 'left', 'no-work-after-drain', 'gate.start')) return 'draining'
    const isPermitted = call.repeat !== 'at-most-once' || this._options.claims.consumeStartPermit(call)
    if (!invariants.check(isPermitted, 'at-most-once', 'gate.start')) return 'store-unavailable'
    return this._options.started.markStarted(call.requestId, now) ? undefined : 'cancelled'
  }

  private _toOutcome (end: ExchangeEnd, exchange: UpstreamExchange): CallOutcome {
    if (end.kind === 'whole') return { kind: 'answered', status: end.status }
    const { invariants, log } = this._options
    const step = 'gate.exchange'
    if (end.kind === 'not-started') {
      const isProved = invariants.check(!exchange.isStarted, 'not-run-never-started', step)
      return isProved ? notRun(end.reason, step) : { kind: 'unknown', reason: 'started', step }
    }
    const { service, route } = exchange.call
    if (end.reason !== 'cancelled') log.log(RESPONSE_REJECTED, { step, reason: end.reason, service, route })
    return { kind: 'unknown', reason: end.reason, step }
  }
}

/** Outcome of a request of which no byte was sent. */
export function notRun (reason: NotRunReason, step = 'gate.admit'): CallOutcome {
  return { kind: 'not-run', reason, step }
}
