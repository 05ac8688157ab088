/** Mesh with a static member view and static documents, to measure the path of calls without a control plane. */
import { Emitter } from '../../src/common/Emitter.js'
import { InvariantService } from '../../src/common/InvariantService.js'
import { MetricsService } from '../../src/common/MetricsService.js'
import { RandomService } from '../../src/common/RandomService.js'
import { ClockService } from '../../src/common/ClockService.js'
import type { IClockService, IInvariantService, ILogService, IMetricsService, IRandomService } from '../../src/common/Services.js'
import type { EndpointId, FailureDomain, ILocation, NetworkAddress, NodeId, Region, ServiceName, Timestamp } from '../../src/common/Types.js'
import type { ISnapshotService } from '../../src/distribution/Services.js'
import type { ISnapshot } from '../../src/documents/Types.js'
import type { IMembershipService } from '../../src/membership/Services.js'
import type { EndpointState, IEndpoint, INodeRecord, IRoutableEndpoint } from '../../src/membership/Types.js'
import type { ISettleClient } from '../../src/routing/Types.js'
import { createActiveDocument, createRoute, createSnapshot, SERVICE } from '../../testing/RoutingFixtures.js'

export const LOCATION: ILocation = { failureDomain: 'north' as FailureDomain, region: 'east' as Region }
const SEED = 20_261_204

/** Endpoint of the static mesh. */
export interface IStaticEndpoint {
  readonly node: string
  readonly gateAddress: string
  readonly failureDomain?: string
  readonly slots: number
}

/** Basic services that all components on the path of a call use. */
export interface IFoundation {
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly metrics: IMetricsService
  readonly invariants: IInvariantService
}

/** Creates the basic services of one process; events of level `error` are written to standard error. */
export function createFoundation (seed = SEED): IFoundation {
  const log: ILogService = {
    log: (event, fields) => {
      if (event.level === 'error') process.stderr.write(`${event.name} ${JSON.stringify(fields)}\n`)
    }
  }
  const metrics = new MetricsService()
  return { clock: new ClockService(), random: new RandomService(seed), log, metrics, invariants: new InvariantService({ log, metrics }) }
}

/** Creates a snapshot service with the documents of the fixtures: one route and its resources. */
export function createSnapshots (snapshot: ISnapshot = createSnapshot(createActiveDocument([createRoute()]))): ISnapshotService {
  return { current: snapshot, onReplaced: new Emitter<ISnapshot>().event, rejections: [], applyNewer: () => undefined }
}

/** Settle client that never resolves an outcome. */
export const NO_SETTLEMENT: ISettleClient = { settle: async () => undefined, dispose: () => undefined }

/** Member view with the given endpoints, which never change. */
export class StaticMembership implements IMembershipService {
  public readonly members = new Map<NodeId, INodeRecord>()
  public readonly onEndpointsChanged = new Emitter<ReadonlySet<ServiceName>>().event
  public readonly onRecordChanged = new Emitter<INodeRecord>().event
  public readonly self: INodeRecord
  private readonly _endpoints: readonly IRoutableEndpoint[]

  constructor (self: string, endpoints: readonly IStaticEndpoint[]) {
    this._endpoints = endpoints.map((endpoint, at) => toRoutable(endpoint, at))
    this.self = {
      ...LOCATION,
      id: self as NodeId,
      peerAddress: '127.0.0.1:1' as NetworkAddress,
      gateAddress: '127.0.0.1:1' as NetworkAddress,
      incarnation: 1,
      sequence: 1,
      state: 'alive',
      endpoints: [],
      software: 'bench'
    }
  }

  public endpoints (service: ServiceName): readonly IRoutableEndpoint[] {
    return service === SERVICE ? this._endpoints : []
  }

  public aliveOrSuspectIn (): ReadonlyMap<NodeId, INodeRecord> {
    return this.members
  }

  public domains (): readonly [] {
    return []
  }

  public announceEndpoint (_endpoint: IEndpoint): void {}

  public setEndpointState (_id: EndpointId, _state: EndpointState): void {}

  public async leave (): Promise<void> {}
}

function toRoutable (endpoint: IStaticEndpoint, at: number): IRoutableEndpoint {
  return {
    ...LOCATION,
    ...(endpoint.failureDomain === undefined ? {} : { failureDomain: endpoint.failureDomain as FailureDomain }),
    id: `endpoint-${at}` as EndpointId,
    service: SERVICE,
    state: 'serving',
    slots: endpoint.slots,
    since: 0 as Timestamp,
    node: endpoint.node as NodeId,
    gateAddress: endpoint.gateAddress as NetworkAddress,
    isReachable: true
  }
}
