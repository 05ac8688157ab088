/** One service with endpoints and a router in each failure domain, on a manual clock. */
import { Emitter } from '../../src/common/Emitter.js'
import { InvariantService } from '../../src/common/InvariantService.js'
import { MetricsService } from '../../src/common/MetricsService.js'
import type { IClockService, IRandomService } from '../../src/common/Services.js'
import type { EndpointId, FailureDomain, ILocation, Region, ServiceName } from '../../src/common/Types.js'
import type { IPoolResource, IRetryResource } from '../../src/documents/Types.js'
import type { IRoutableEndpoint } from '../../src/membership/Types.js'
import { RouterService } from '../../src/routing/RouterService.js'
import { RecordingLog } from '../RecordingLog.js'
import { createActiveDocument, createEndpoint, createRoute, createSnapshot, POOL, RETRY } from '../RoutingFixtures.js'
import { FakeGates } from './FakeGates.js'
import { FakeUpstream, type IFakeUpstreamOptions } from './FakeUpstream.js'

/** Failure domains with their regions, as in the current deployment. */
export const DOMAINS: ReadonlyArray<readonly [string, string]> = [
  ['ub-1', 'ulaanbaatar'], ['ub-2', 'ulaanbaatar'], ['dk-1', 'darkhan'], ['dk-2', 'darkhan'], ['mg-1', 'mandalgovi'], ['mg-2', 'mandalgovi']
]

/** Options of a fake service. */
export interface IFakeServiceOptions {
  readonly clock: IClockService
  readonly random: IRandomService
  readonly pool?: Partial<IPoolResource>
  readonly retry?: Partial<IRetryResource>
  readonly endpointsPerDomain: number
  /** Behaviour of the upstream with index `at`. */
  readonly upstream: (at: number) => Omit<IFakeUpstreamOptions, 'clock' | 'random'>
}

/** Routers and upstreams of one service. */
export class FakeService {
  public readonly upstreams: readonly FakeUpstream[]
  /** One router for each failure domain, in the order of `DOMAINS`. */
  public readonly routers: readonly RouterService[]
  public readonly log = new RecordingLog()

  constructor (options: IFakeServiceOptions) {
    const endpoints = DOMAINS.flatMap((location) => Array.from({ length: options.endpointsPerDomain }, () => location))
      .map((location, at) => createEndpoint(String(at), location))
    const { clock, random } = options
    this.upstreams = endpoints.map((_, at) => new FakeUpstream({ ...options.upstream(at), clock, random }))
    const byId = new Map<EndpointId, FakeUpstream>()
    for (const [at, upstream] of this.upstreams.entries()) byId.set((endpoints[at] as IRoutableEndpoint).id, upstream)
    this.routers = DOMAINS.map(([failureDomain, region]) => {
      const location = { failureDomain: failureDomain as FailureDomain, region: region as Region }
      return this._createRouter(options, location, endpoints, byId)
    })
  }

  /** Requests started at all upstreams. */
  public get executions (): number {
    return this.upstreams.reduce((sum, upstream) => sum + upstream.executions, 0)
  }

  private _createRouter (
    options: IFakeServiceOptions, location: ILocation, endpoints: readonly IRoutableEndpoint[],
    upstreams: ReadonlyMap<EndpointId, FakeUpstream>
  ): RouterService {
    const metrics = new MetricsService()
    const { clock, random } = options
    const resources = [{ ...POOL, ...options.pool }, { ...RETRY, ...options.retry }]
    return new RouterService({
      clock,
      random,
      log: this.log,
      metrics,
      invariants: new InvariantService({ log: this.log, metrics }),
      snapshots: { current: createSnapshot(createActiveDocument([createRoute()], resources)) },
      membership: { endpoints: () => endpoints, onEndpointsChanged: new Emitter<ReadonlySet<ServiceName>>().event },
      remoteGates: new FakeGates(clock, location, upstreams),
      location
    })
  }
}
