/** Routes requests to endpoints: matching, balancing, retries and outlier ejection. */
import { Disposable } from '../common/Disposable.js'
import type { IClockService, IInvariantService, ILogService, IMetricsService, IRandomService, IService } from '../common/Services.js'
import type { ILocation, NetworkAddress, NodeId, ServiceName, Timestamp } from '../common/Types.js'
import type { ISnapshotService } from '../distribution/Services.js'
import type { IGateService } from '../gate/Services.js'
import type { CallOutcome, IAnswerSink } from '../gate/Types.js'
import type { IMembershipService } from '../membership/Services.js'
import { CallPreparation } from './CallPreparation.js'
import { CallRun, type ICallRunOptions } from './CallRun.js'
import { EndpointPool } from './EndpointPool.js'
import { ENDPOINTS_BACK, NO_ENDPOINT, RETRY_BUDGET_SPENT } from './Events.js'
import { classifyCall, type BurnVerdict } from './BurnRules.js'
import { OutcomeObserver } from './OutcomeObserver.js'
import { OutlierDetector, type IOutlierDetectorOptions } from './OutlierDetector.js'
import { RateLimiter } from './RateLimiter.js'
import { RetryBudget, type IRetryBudgetOptions } from './RetryBudget.js'
import type { IResolvedRoute, RoutedCall } from './RoutedCall.js'
import { RouterMetrics } from './RouterMetrics.js'
import type { IBurnService, IInboundRequest, IRouterService } from './Services.js'
import type { IRemoteGates } from './Types.js'

/** Minimum time between two log entries about the exhausted retry budget of one service. */
const BUDGET_LOG_INTERVAL_MS = 60_000

/** Dependencies and limits of `RouterService`. */
export interface IRouterServiceOptions {
  readonly snapshots: Pick<ISnapshotService, 'current'>
  readonly membership: Pick<IMembershipService, 'endpoints' | 'onEndpointsChanged'>
  readonly remoteGates: IRemoteGates
  /** Where this process runs. */
  readonly location: ILocation
  /** Id of this node and its gate; both undefined in a process without upstreams. */
  readonly self?: NodeId
  readonly localGate?: IGateService
  readonly burn?: Pick<IBurnService, 'record'>
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly metrics: IMetricsService
  readonly invariants: IInvariantService
  readonly outliers?: Partial<IOutlierDetectorOptions>
  readonly retryBudget?: Partial<IRetryBudgetOptions>
}

/** Routes each request by the snapshot that is current when the request arrives. */
export class RouterService extends Disposable implements IRouterService, IService {
  private readonly _pools = new Map<ServiceName, EndpointPool>()
  private readonly _budgets = new Map<ServiceName, RetryBudget>()
  private readonly _budgetLoggedAt = new Map<ServiceName, Timestamp>()
  private readonly _servicesWithoutEndpoint = new Set<ServiceName>()
  private readonly _detector: OutlierDetector
  private readonly _preparation: CallPreparation
  private readonly _runOptions: ICallRunOptions
  private readonly _metrics: RouterMetrics

  constructor (private readonly _options: IRouterServiceOptions) {
    super()
    const { random, log, invariants, metrics, membership } = _options
    this._detector = new OutlierDetector(random, _options.outliers)
    const observer = new OutcomeObserver({ detector: this._detector, log })
    this._metrics = new RouterMetrics(metrics, observer)
    this._preparation = new CallPreparation(invariants, new RateLimiter())
    this._runOptions = {
      ..._options,
      self: _options.self,
      localGate: _options.localGate,
      observer,
      endpointPool: (service) => this._pool(service),
      retryBudget: (service) => this._budget(service),
      onRetryDenied: (service, now) => this._recordDeniedRetry(service, now)
    }
    this.register(membership.onEndpointsChanged((services) => this._onEndpointsChanged(services)))
  }

  public async route (request: IInboundRequest, sink: IAnswerSink, now: Timestamp): Promise<CallOutcome> {
    const prepared = this._preparation.prepare(request, this._options.snapshots.current, now)
    if (prepared.kind === 'refused') {
      this._recordOutcome(prepared.resolved, prepared.refusal, 0, now)
      return prepared.refusal
    }
    const { call, resolved } = prepared
    const run = new CallRun(this._runOptions, call, resolved, sink)
    const outcome = await run.run(now)
    this._metrics.attempts += run.attempts
    this._logEndpointAvailability(call, outcome)
    if (call.depth === 0) this._recordOutcome(resolved, outcome, now, this._options.clock.now())
    else this._metrics.count(outcome)
    return outcome
  }

  /** Closes the connections to other gates after the exchanges in flight have finished. */
  public async stop (): Promise<void> {
    await this._options.remoteGates.close()
    this.dispose()
  }

  private _recordOutcome (resolved: IResolvedRoute | undefined, outcome: CallOutcome, startedAt: number, now: Timestamp): void {
    this._metrics.count(outcome)
    if (resolved === undefined) return
    const verdict: BurnVerdict = classifyCall(outcome, startedAt === 0 ? 0 : now - startedAt, resolved.document.objective)
    if (verdict !== 'not-counted') this._options.burn?.record(resolved.active.service, verdict === 'good', now)
  }

  private _pool (service: ServiceName): EndpointPool {
    const known = this._pools.get(service)
    if (known !== undefined) return known
    const pool = new EndpointPool({ location: this._options.location, random: this._options.random, detector: this._detector })
    this._pools.set(service, pool)
    return pool
  }

  private _budget (service: ServiceName): RetryBudget {
    const known = this._budgets.get(service)
    if (known !== undefined) return known
    const budget = new RetryBudget(this._options.retryBudget)
    this._budgets.set(service, budget)
    return budget
  }

  private _recordDeniedRetry (service: ServiceName, now: Timestamp): void {
    this._metrics.deniedRetries++
    if (now - (this._budgetLoggedAt.get(service) ?? 0) < BUDGET_LOG_INTERVAL_MS) return
    this._budgetLoggedAt.set(service, now)
    this._options.log.log(RETRY_BUDGET_SPENT, { step: 'router.retry', service })
  }

  private _logEndpointAvailability (call: RoutedCall, outcome: CallOutcome): void {
    const hasNoEndpoint = outcome.kind === 'not-run' && outcome.reason === 'no-endpoint'
    if (!hasNoEndpoint && this._servicesWithoutEndpoint.size === 0) return
    const service = call.targetService
    if (hasNoEndpoint === this._servicesWithoutEndpoint.has(service)) return
    if (hasNoEndpoint) this._servicesWithoutEndpoint.add(service)
    else this._servicesWithoutEndpoint.delete(service)
    this._options.log.log(hasNoEndpoint ? NO_ENDPOINT : ENDPOINTS_BACK, { step: 'router.choose', service })
  }

  /**
   * Opens connections to endpoints of services in use in the same failure domain, and closes connections to gates
   * without endpoints.
   */
  private _onEndpointsChanged (services: ReadonlySet<ServiceName>): void {
    const { membership, clock, remoteGates, self } = this._options
    const now = clock.now()
    const addresses = new Set<NetworkAddress>()
    for (const [service, pool] of this._pools) {
      if (services.has(service)) pool.update(membership.endpoints(service), now)
      for (const { endpoint, tier } of pool.all) {
        addresses.add(endpoint.gateAddress)
        if (tier === 0 && endpoint.node !== self && services.has(service)) remoteGates.warm(endpoint)
      }
    }
    remoteGates.retain(addresses)
  }
}
