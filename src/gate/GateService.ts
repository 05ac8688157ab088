/** The only way to the upstreams on this VM. */
import type { Readable } from 'node:stream'
import { Disposable } from '../common/Disposable.js'
import type { IClockService, IInvariantService, ILogService, IMetricsService, IService } from '../common/Services.js'
import type { Milliseconds, RequestFingerprint, RequestId, ServiceName, Timestamp } from '../common/Types.js'
import type { ISnapshotService } from '../distribution/Services.js'
import type { ISnapshot } from '../documents/Types.js'
import type { IBroadcastService, IMembershipService } from '../membership/Services.js'
import type { IObjectStore, ITableService } from '../platform/Services.js'
import { ClaimService, type IClaimSettings } from './ClaimService.js'
import { CrashGuard, type ICrashGuardSettings } from './CrashGuard.js'
import { ANSWER_REFUSED, DRAIN_COMPLETED, DRAIN_GRACE_EXCEEDED, DRAIN_STARTED } from './Events.js'
import { GateMetrics } from './GateMetrics.js'
import { fingerprintOf, readBodyStart, FINGERPRINT_BODY_BYTES } from './KeptBody.js'
import { findBodyLimits, findPool } from './RouteLimits.js'
import type { IGateService, IOccupancy, IUpstreamSettings } from './Services.js'
import { StartedRequests, type IStartedRequestsOptions } from './StartedRequests.js'
import type { CallOutcome, IAnswerSink, ICall, NotRunReason, SettleAnswer } from './Types.js'
import type { UpstreamConnection } from './UpstreamConnections.js'
import { UpstreamEndpoint } from './UpstreamEndpoint.js'
import { UpstreamExchange, type ExchangeEnd } from './UpstreamExchange.js'

/** Settings of the gate. */
export interface IGateSettings {
  /** Time between two openings of connections to one upstream. */
  readonly openInterval: Milliseconds
  /** An opening that takes longer has failed. */
  readonly openTimeout: Milliseconds
  /** How long a leaving endpoint still takes calls, while the other nodes learn that it leaves. */
  readonly drainNotice: Milliseconds
  readonly startedRequests: Partial<IStartedRequestsOptions>
  readonly claims: Partial<IClaimSettings>
  readonly crashGuard: Partial<ICrashGuardSettings>
}

/** Defaults of the gate's settings. */
export const DEFAULT_GATE_SETTINGS: IGateSettings = Object.freeze({
  openInterval: 1 as Milliseconds,
  openTimeout: 1_000 as Milliseconds,
  drainNotice: 1_000 as Milliseconds,
  startedRequests: {},
  claims: {},
  crashGuard: {}
})

/** What the gate needs. */
export interface IGateServiceOptions {
  readonly clock: IClockService
  readonly log: ILogService
  readonly metrics: IMetricsService
  readonly invariants: IInvariantService
  readonly membership: IMembershipService
  readonly snapshots: ISnapshotService
  readonly table: ITableService
  readonly objects: IObjectStore
  /** Undefined in a process of one node. */
  readonly broadcast?: IBroadcastService
  readonly upstreams: readonly IUpstreamSettings[]
  readonly settings?: Partial<IGateSettings>
}

/** Connections that were closed while idle and are passed over before a call is refused. */
const STALE_CONNECTIONS_LIMIT = 3

type Body = Readable | Buffer | undefined

/** How a call may run, as far as crashes are concerned. */
interface IInspection {
  readonly body: Body
  readonly refusal?: NotRunReason
  /** Set if the call is suspect and must run alone. */
  readonly suspect?: RequestFingerprint
}

/** Admits calls to the upstreams on this VM and runs them. */
export class GateService extends Disposable implements IGateService, IService {
  public readonly claims: ClaimService
  private readonly _options: IGateServiceOptions
  private readonly _settings: IGateSettings
  private readonly _metrics: GateMetrics
  private readonly _guard: CrashGuard
  private readonly _started: StartedRequests
  private readonly _endpoints = new Map<ServiceName, readonly UpstreamEndpoint[]>()

  constructor (options: IGateServiceOptions) {
    super()
    this._options = options
    this._settings = { ...DEFAULT_GATE_SETTINGS, ...options.settings }
    const { clock, log, membership, table, objects, broadcast } = options
    this._metrics = new GateMetrics(options.metrics)
    this._guard = this.register(new CrashGuard({ clock, log, metrics: this._metrics, broadcast, settings: this._settings.crashGuard }))
    this._started = new StartedRequests(this._settings.startedRequests)
    this.claims = this.register(new ClaimService({
      clock, log, metrics: this._metrics, table, objects, node: membership.self.id, settings: this._settings.claims
    }))
    for (const upstream of options.upstreams) this._addEndpoint(upstream)
    this._registerGauges()
  }

  /** Takes the limits of the documents in force, and of every later one. */
  public start (): void {
    const { snapshots } = this._options
    this.register(snapshots.onReplaced((snapshot) => { this._configure(snapshot) }))
    this._configure(snapshots.current)
  }

  /** Drains and closes all connections. */
  public async stop (): Promise<void> {
    await this.drain(this._options.clock.now())
    await this.claims.stop()
    this.dispose()
  }

  /** The endpoints of a service on this VM. */
  public endpoints (service: ServiceName): readonly UpstreamEndpoint[] {
    return this._endpoints.get(service) ?? []
  }

  public occupancy (service: ServiceName): IOccupancy | undefined {
    const endpoints = this._endpoints.get(service)
    if (endpoints === undefined) return undefined
    let used = 0
    let queued = 0
    let slots = 0
    for (const endpoint of endpoints) {
      used += endpoint.slots.used
      queued += endpoint.queued
      slots += endpoint.slots.slots
    }
    return { used, queued, slots }
  }

  public hasFreeSlot (service: ServiceName): boolean {
    return this.endpoints(service).some((endpoint) => endpoint.hasFreeSlot)
  }

  public settle (requestId: RequestId, now: Timestamp): SettleAnswer {
    const answer = this._started.settle(requestId, now)
    if (answer === 'never-will-be') {
      for (const endpoint of this._all()) endpoint.refuseWaiting({ requestId }, 'cancelled')
    }
    return answer
  }

  public async drain (now: Timestamp): Promise<void> {
    const { log, clock } = this._options
    log.log(DRAIN_STARTED, { step: 'gate.drain', inFlight: this._all().reduce((sum, endpoint) => sum + endpoint.slots.used, 0) })
    const draining = this._all().map((endpoint) => {
      endpoint.startDrain(this._settings.drainNotice, now)
      return endpoint.whenDrained()
    })
    const warning = clock.after(this._drainGrace(), () => { log.log(DRAIN_GRACE_EXCEEDED, { step: 'gate.drain' }) })
    await Promise.all(draining)
    warning.dispose()
    log.log(DRAIN_COMPLETED, { step: 'gate.drain' })
  }

  public async execute (call: ICall, sink: IAnswerSink): Promise<CallOutcome> {
    const outcome = await this._decide(call, sink)
    this._metrics.countOutcome(outcome.kind, outcome.kind === 'answered' ? '' : outcome.reason)
    return outcome
  }

  private _decide (call: ICall, sink: IAnswerSink): CallOutcome | Promise<CallOutcome> {
    const now = this._options.clock.now()
    const endpoint = this._choose(call.targetService)
    if (endpoint === undefined) return notRun('no-endpoint')
    const refusal = this._refusal(call, endpoint, now)
    if (refusal !== undefined) return notRun(refusal)
    if (call.repeat !== 'at-most-once') return this._run(endpoint, call, sink, call.bodyContent ?? call.body)
    return this.claims.execute(call, sink, (content, recorder) => this._run(endpoint, call, recorder, content))
  }

  /** Why a call is refused without further ado. */
  private _refusal (call: ICall, endpoint: UpstreamEndpoint, now: Timestamp): NotRunReason | undefined {
    if (now >= call.deadlineAt) return 'deadline'
    if (call.isCancelled || this._started.isRefused(call.requestId)) return 'cancelled'
    const limits = findBodyLimits(this._options.snapshots.current, call.service, call.route)
    if ((call.bodyContent?.byteLength ?? call.bodyBytes ?? 0) > limits.requestBytes) return 'too-large'
    return endpoint.refusal(now)
  }

  /** Admits a call and runs it in its slot. */
  private async _run (endpoint: UpstreamEndpoint, call: ICall, sink: IAnswerSink, body: Body): Promise<CallOutcome> {
    const { clock } = this._options
    let inspection: IInspection = { body }
    for (;;) {
      const isKnown = inspection.suspect !== undefined
      if (!isKnown && this._guard.concerns(call.service, call.route)) inspection = await this._inspect(call, inspection.body)
      if (inspection.refusal !== undefined) return notRun(inspection.refusal)
      const isIsolated = inspection.suspect !== undefined
      const admission = endpoint.admit(call, isIsolated, clock.now())
      const refusal = admission instanceof Promise ? await this._waitFor(admission) : admission
      if (refusal !== undefined) return notRun(refusal)
      // A crash elsewhere may have made the call suspect while it waited.
      const isOutdated = !isIsolated && admission instanceof Promise && this._guard.concerns(call.service, call.route)
      if (isOutdated) inspection = await this._inspect(call, inspection.body)
      if (!isOutdated || (inspection.suspect === undefined && inspection.refusal === undefined)) {
        return await this._runInSlot(endpoint, call, sink, inspection)
      }
      endpoint.release(clock.now())
    }
  }

  private async _waitFor (admission: Promise<NotRunReason | undefined>): Promise<NotRunReason | undefined> {
    const stop = this._metrics.queueWait.startTimer()
    const refusal = await admission
    stop()
    return refusal
  }

  /** Computes the fingerprint of a call and how it may run. */
  private async _inspect (call: ICall, body: Body): Promise<IInspection> {
    let seen = body
    let chunks: readonly Uint8Array[] = []
    if (Buffer.isBuffer(body)) chunks = [body]
    else if (body !== undefined) {
      const start = await readBodyStart(body, FINGERPRINT_BODY_BYTES).catch(() => undefined)
      if (start === undefined) return { body, refusal: 'cancelled' }
      chunks = [start.content]
      seen = start.isWhole ? start.content : body
    }
    const fingerprint = fingerprintOf(call, chunks)
    const standing = this._guard.standingOf(fingerprint, this._options.clock.now())
    if (standing === 'quarantined') return { body: seen, refusal: 'quarantined' }
    return { body: seen, suspect: standing === 'suspect' ? fingerprint : undefined }
  }

  private async _runInSlot (endpoint: UpstreamEndpoint, call: ICall, sink: IAnswerSink, inspection: IInspection): Promise<CallOutcome> {
    const { clock } = this._options
    try {
      for (let attempt = 1; ; attempt++) {
        const connection = endpoint.connections.tryAcquire() ?? await this._open(endpoint)
        if (connection === undefined) return notRun('unreachable')
        const exchange = this._exchange(endpoint, call, sink, inspection.body)
        const end = await endpoint.run(exchange, connection, inspection.suspect !== undefined)
        if (end.kind === 'not-started' && end.isStale && attempt < STALE_CONNECTIONS_LIMIT) continue
        if (end.kind === 'whole' && inspection.suspect !== undefined) this._guard.onFinishedAlone(call, inspection.suspect, clock.now())
        return this._conclude(end, exchange)
      }
    } finally {
      endpoint.release(clock.now())
    }
  }

  private _open (endpoint: UpstreamEndpoint): Promise<UpstreamConnection | undefined> {
    return endpoint.connections.acquire().catch(() => undefined)
  }

  private _exchange (endpoint: UpstreamEndpoint, call: ICall, sink: IAnswerSink, body: Body): UpstreamExchange {
    const { clock, snapshots } = this._options
    const limits = findBodyLimits(snapshots.current, call.service, call.route)
    const onStarting = (): NotRunReason | undefined => this._onStarting(endpoint, call, clock.now())
    const { requestBytes, responseBytes } = limits
    return new UpstreamExchange({ call, sink, body, clock, onStarting, requestBytes, responseBytes })
  }

  /** The last moment before the first byte: from here on the request counts as started. */
  private _onStarting (endpoint: UpstreamEndpoint, call: ICall, now: Timestamp): NotRunReason | undefined {
    if (now >= call.deadlineAt) return 'deadline'
    if (call.isCancelled) return 'cancelled'
    const refusal = endpoint.refusal(now)
    if (refusal !== undefined && refusal !== 'draining') return refusal
    const { invariants } = this._options
    if (!invariants.check(endpoint.state !== 'left', 'no-work-after-drain', 'gate.start')) return 'draining'
    const isPermitted = call.repeat !== 'at-most-once' || this.claims.takePermission(call)
    if (!invariants.check(isPermitted, 'at-most-once', 'gate.start')) return 'store-unavailable'
    return this._started.start(call.requestId, now) ? undefined : 'cancelled'
  }

  private _conclude (end: ExchangeEnd, exchange: UpstreamExchange): CallOutcome {
    if (end.kind === 'whole') return { kind: 'answered', status: end.status }
    const { invariants, log } = this._options
    const step = 'gate.exchange'
    if (end.kind === 'not-started') {
      const isProved = invariants.check(!exchange.isStarted, 'not-run-never-started', step)
      return isProved ? notRun(end.reason, step) : { kind: 'unknown', reason: 'started', step }
    }
    const { service, route } = exchange.call
    if (end.reason !== 'cancelled') log.log(ANSWER_REFUSED, { step, reason: end.reason, service, route })
    return { kind: 'unknown', reason: end.reason, step }
  }

  /** The endpoint that serves and has most room. */
  private _choose (service: ServiceName): UpstreamEndpoint | undefined {
    const endpoints = this._endpoints.get(service)
    if (endpoints === undefined || endpoints.length < 2) return endpoints?.[0]
    const serving = endpoints.filter((endpoint) => endpoint.state === 'serving')
    const candidates = serving.length > 0 ? serving : endpoints
    const load = (endpoint: UpstreamEndpoint): number => endpoint.slots.used + endpoint.queued
    return candidates.reduce((best, candidate) => load(candidate) < load(best) ? candidate : best)
  }

  private _addEndpoint (upstream: IUpstreamSettings): void {
    const { clock, log, membership } = this._options
    const { openInterval, openTimeout } = this._settings
    const endpoint = this.register(new UpstreamEndpoint({
      upstream,
      clock,
      log,
      membership,
      openInterval,
      openTimeout,
      onCrashed: (victims) => {
        this._metrics.crashes.inc({ service: upstream.service })
        this._guard.onCrashed(victims, clock.now())
      }
    }))
    this._endpoints.set(upstream.service, [...this.endpoints(upstream.service), endpoint])
  }

  private _configure (snapshot: ISnapshot): void {
    const now = this._options.clock.now()
    for (const [service, endpoints] of this._endpoints) {
      const pool = findPool(snapshot, service)
      if (pool === undefined) continue
      for (const endpoint of endpoints) endpoint.configure(pool, now)
    }
  }

  private _all (): readonly UpstreamEndpoint[] {
    return [...this._endpoints.values()].flat()
  }

  /** Longest drain grace of the services on this VM. */
  private _drainGrace (): Milliseconds {
    const { documents } = this._options.snapshots.current
    const graces = [...this._endpoints.keys()].map((service) => documents.get(service)?.document?.stop.drainGrace ?? 0)
    return Math.max(this._settings.drainNotice, ...graces) as Milliseconds
  }

  private _registerGauges (): void {
    const read = (pick: (occupancy: IOccupancy) => number) => (): Array<readonly [string, number]> =>
      [...this._endpoints.keys()].map((service) => [service, pick(this.occupancy(service) as IOccupancy)] as const)
    this._metrics.gauge('savoryknot_gate_slots_used', 'Requests that run in the upstreams of this node. Unit: requests.', 'service', read(({ used }) => used))
    this._metrics.gauge('savoryknot_gate_queued', 'Requests that wait for a slot. Unit: requests.', 'service', read(({ queued }) => queued))
  }
}

function notRun (reason: NotRunReason, step = 'gate.admit'): CallOutcome {
  return { kind: 'not-run', reason, step }
}
