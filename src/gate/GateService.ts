/** The gate: admission control for the upstreams on this VM. Every call to them passes through it. */
import { Disposable } from '../common/Disposable.js'
import type { IClockService, IInvariantService, ILogService, IMetricsService, IService } from '../common/Services.js'
import type { Milliseconds, RequestId, ServiceName, Timestamp } from '../common/Types.js'
import type { ISnapshotService } from '../distribution/Services.js'
import type { ISnapshot } from '../documents/Types.js'
import type { IBroadcastService, IMembershipService } from '../membership/Services.js'
import type { IObjectStore, ITableService } from '../platform/Services.js'
import { CallRunner, notRun } from './CallRunner.js'
import { ClaimService, type IClaimSettings } from './ClaimService.js'
import { CrashGuard, type ICrashGuardSettings } from './CrashGuard.js'
import { DRAIN_COMPLETED, DRAIN_GRACE_EXCEEDED, DRAIN_STARTED } from './Events.js'
import { GateMetrics } from './GateMetrics.js'
import { DEFAULT_BODY_LIMITS, findBodyLimits, findPool, type IBodyLimits } from './RouteLimits.js'
import type { IGateService, IOccupancy, IUpstreamSettings } from './Services.js'
import { StartedRequests, type IStartedRequestsOptions } from './StartedRequests.js'
import type { CallOutcome, IAnswerSink, ICall, NotRunReason, SettleResult } from './Types.js'
import { UpstreamEndpoint } from './UpstreamEndpoint.js'

/** Settings of the gate. */
export interface IGateSettings {
  /** Minimum time between two connection attempts to one upstream. */
  readonly openInterval: Milliseconds
  /** Timeout of a connection attempt. */
  readonly openTimeout: Milliseconds
  /** Time for which a draining endpoint still accepts calls, while the other nodes learn that it is draining. */
  readonly drainNotice: Milliseconds
  /** Limits of routes that reference no limit resource. */
  readonly bodyLimits: IBodyLimits
  readonly startedRequests: Partial<IStartedRequestsOptions>
  readonly claims: Partial<IClaimSettings>
  readonly crashGuard: Partial<ICrashGuardSettings>
}

/** Defaults of `IGateSettings`. */
export const DEFAULT_GATE_SETTINGS: IGateSettings = Object.freeze({
  openInterval: 1 as Milliseconds,
  openTimeout: 1_000 as Milliseconds,
  drainNotice: 1_000 as Milliseconds,
  bodyLimits: DEFAULT_BODY_LIMITS,
  startedRequests: {},
  claims: {},
  crashGuard: {}
})

/** Dependencies and settings of `GateService`. */
export interface IGateServiceOptions {
  readonly clock: IClockService
  readonly log: ILogService
  readonly metrics: IMetricsService
  readonly invariants: IInvariantService
  readonly membership: IMembershipService
  readonly snapshots: ISnapshotService
  readonly table: ITableService
  readonly objects: IObjectStore
  /** Undefined in a single-node deployment. */
  readonly broadcast?: IBroadcastService
  readonly upstreams: readonly IUpstreamSettings[]
  readonly settings?: Partial<IGateSettings>
}

/** Admits calls to the upstreams on this VM and runs them. */
export class GateService extends Disposable implements IGateService, IService {
  public readonly claims: ClaimService
  private readonly _options: IGateServiceOptions
  private readonly _settings: IGateSettings
  private readonly _metrics: GateMetrics
  private readonly _crashGuard: CrashGuard
  private readonly _startedRequests: StartedRequests
  private readonly _runner: CallRunner
  private _draining: Promise<void> | undefined
  private readonly _endpoints = new Map<ServiceName, readonly UpstreamEndpoint[]>()

  constructor (options: IGateServiceOptions) {
    super()
    this._options = options
    this._settings = { ...DEFAULT_GATE_SETTINGS, ...options.settings }
    const { clock, log, membership, table, objects, broadcast } = options
    this._metrics = new GateMetrics(options.metrics)
    this._crashGuard = this.register(new CrashGuard({ clock, log, metrics: this._metrics, broadcast, settings: this._settings.crashGuard }))
    this._startedRequests = new StartedRequests(this._settings.startedRequests)
    this.claims = this.register(new ClaimService({
      clock, log, metrics: this._metrics, table, objects, node: membership.self.id, settings: this._settings.claims
    }))
    this._runner = new CallRunner({
      clock,
      log,
      invariants: options.invariants,
      snapshots: options.snapshots,
      metrics: this._metrics,
      claims: this.claims,
      guard: this._crashGuard,
      started: this._startedRequests,
      bodyLimits: this._settings.bodyLimits
    })
    for (const upstream of options.upstreams) this._addEndpoint(upstream)
    this._registerGauges()
  }

  /** Applies the limits of the active documents, and of every later snapshot. */
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

  public settle (requestId: RequestId, now: Timestamp): SettleResult {
    const outcome = this._startedRequests.settle(requestId, now)
    if (outcome === 'never-will-be') {
      for (const endpoint of this._allEndpoints()) endpoint.refuseQueued({ requestId }, 'cancelled')
    }
    return outcome
  }

  /** Starts the drain once; further calls return the promise of the first call. */
  public drain (now: Timestamp): Promise<void> {
    this._draining ??= this._drain(now)
    return this._draining
  }

  private async _drain (now: Timestamp): Promise<void> {
    const { log, clock } = this._options
    log.log(DRAIN_STARTED, { step: 'gate.drain', inFlight: this._allEndpoints().reduce((sum, endpoint) => sum + endpoint.slots.used, 0) })
    const draining = this._allEndpoints().map((endpoint) => {
      endpoint.startDrain(this._settings.drainNotice, now)
      return endpoint.whenDrained()
    })
    const warning = clock.after(this._drainGrace(), () => { log.log(DRAIN_GRACE_EXCEEDED, { step: 'gate.drain' }) })
    await Promise.all(draining)
    warning.dispose()
    log.log(DRAIN_COMPLETED, { step: 'gate.drain' })
  }

  public async execute (call: ICall, sink: IAnswerSink): Promise<CallOutcome> {
    const outcome = await this._runOrRefuse(call, sink)
    this._metrics.countOutcome(outcome.kind, outcome.kind === 'answered' ? '' : outcome.reason)
    return outcome
  }

  private _runOrRefuse (call: ICall, sink: IAnswerSink): CallOutcome | Promise<CallOutcome> {
    const now = this._options.clock.now()
    const endpoint = this._chooseEndpoint(call.targetService)
    if (endpoint === undefined) return notRun('no-endpoint')
    const refusal = this._immediateRefusal(call, endpoint, now)
    if (refusal !== undefined) return notRun(refusal)
    if (call.repeat !== 'at-most-once') return this._runner.run(endpoint, call, sink, call.bodyContent ?? call.body)
    return this.claims.execute(call, sink, (content, recorder) => this._runner.run(endpoint, call, recorder, content))
  }

  /** Reason to refuse a call before it is queued; undefined if there is none. */
  private _immediateRefusal (call: ICall, endpoint: UpstreamEndpoint, now: Timestamp): NotRunReason | undefined {
    if (now >= call.deadlineAt) return 'deadline'
    if (call.isCancelled || this._startedRequests.isRefused(call.requestId)) return 'cancelled'
    const limits = findBodyLimits(this._options.snapshots.current, call.service, call.route, this._settings.bodyLimits)
    if ((call.bodyContent?.byteLength ?? call.bodyBytes ?? 0) > limits.requestBytes) return 'too-large'
    return endpoint.refusal(now)
  }

  /** The serving endpoint with the fewest running and queued requests; if none is serving, the one with the fewest of all. */
  private _chooseEndpoint (service: ServiceName): UpstreamEndpoint | undefined {
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
      onCrashed: (lostExchanges) => {
        this._metrics.crashes.inc({ service: upstream.service })
        this._crashGuard.recordCrash(lostExchanges, clock.now())
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

  private _allEndpoints (): readonly UpstreamEndpoint[] {
    return [...this._endpoints.values()].flat()
  }

  /** Longest drain grace of the services on this VM. */
  private _drainGrace (): Milliseconds {
    const { documents } = this._options.snapshots.current
    const drainGraces = [...this._endpoints.keys()].map((service) => documents.get(service)?.document?.stop.drainGrace ?? 0)
    return Math.max(this._settings.drainNotice, ...drainGraces) as Milliseconds
  }

  private _registerGauges (): void {
    const read = (select: (occupancy: IOccupancy) => number) => (): Array<readonly [string, number]> =>
      [...this._endpoints.keys()].map((service) => [service, select(this.occupancy(service) as IOccupancy)] as const)
    this._metrics.gauge('savoryknot_gate_slots_used', 'Requests that run in the upstreams of this node. Unit: requests.', 'service', read(({ used }) => used))
    this._metrics.gauge('savoryknot_gate_queued', 'Requests that wait for a slot. Unit: requests.', 'service', read(({ queued }) => queued))
  }
}
