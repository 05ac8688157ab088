/** Router embedded in a program's process, which sends calls directly to remote gates. */
import { randomInt } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'
import type { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js'
import { ClockService } from '../common/ClockService.js'
import { createNodeId } from '../common/Ids.js'
import { InvariantService } from '../common/InvariantService.js'
import { Kernel } from '../common/Kernel.js'
import { LogService } from '../common/LogService.js'
import { MetricsService } from '../common/MetricsService.js'
import { RandomService } from '../common/RandomService.js'
import { IClockService, IInvariantService, ILogService, IMetricsService, IRandomService, type IServiceKey } from '../common/Services.js'
import type { FailureDomain, ILocation, Milliseconds, NetworkAddress, Region } from '../common/Types.js'
import { registerControlPlane } from '../distribution/ControlPlane.js'
import { ICatchUpService, ISnapshotService } from '../distribution/Services.js'
import { AcceptedDocuments } from '../documents/AcceptedDocuments.js'
import { DocumentParser } from '../documents/DocumentParser.js'
import { IAcceptedDocuments, ISnapshotBuilder } from '../documents/Services.js'
import { SnapshotBuilder } from '../documents/SnapshotBuilder.js'
import type { CallOutcome, IAnswerSink } from '../gate/Types.js'
import { GrpcPeerTransport } from '../membership/GrpcPeerTransport.js'
import { IMembershipService, IPeerTransport } from '../membership/Services.js'
import { IObjectStore, ITableService } from '../platform/Services.js'
import { ClientRequest, type IMeshRequest } from './ClientRequest.js'
import { CollectingSink } from './CollectingSink.js'
import { GrpcSettleClient } from './GrpcSettleClient.js'
import { RemoteGates } from './RemoteGates.js'
import { RouterService } from './RouterService.js'
import { IRouterService } from './Services.js'
import type { INodeKeys } from './Types.js'

/** Software name in the member record of the process, which distinguishes the members of mixed fleets. */
const SOFTWARE = 'savoryknot-embedded'
const SEED_LIMIT = 2 ** 31
const DEFAULT_JOIN_TIMEOUT_MS = 5_000
const JOIN_CHECK_INTERVAL_MS = 10 as Milliseconds

/** Options of an embedded client. */
export interface IMeshClientOptions {
  readonly failureDomain: string
  readonly region: string
  /** `host:port` at which other nodes reach this process; the client listens there. */
  readonly peerAddress: string
  /** `host:port` of the peer ports of nodes through which the client joins. */
  readonly peers: readonly string[]
  /** Table and object store of the platform, the same as those of the daemons. */
  readonly table: ITableService
  readonly objects: IObjectStore
  /** Certificates for connections to other nodes; without them, connections are unencrypted. */
  readonly keys?: INodeKeys
  readonly serverCredentials?: ServerCredentials
  readonly channelCredentials?: ChannelCredentials
  readonly log?: ILogService
  readonly metrics?: IMetricsService
  /** Maximum time that `start` waits for endpoints of other nodes. */
  readonly joinTimeoutMs?: number
}

/** Response to a call. */
export interface IMeshAnswer {
  readonly outcome: CallOutcome
  /** 0 without a response. */
  readonly status: number
  readonly headers: IncomingHttpHeaders
  /** Empty unless the outcome is `answered`. */
  readonly body: Buffer
}

/** A member of the mesh that has no upstreams. */
export class MeshClient {
  private readonly _kernel = new Kernel()
  private readonly _clock = new ClockService()

  constructor (private readonly _options: IMeshClientOptions) {
    this._registerBaseServices()
    this._registerDocuments()
    this._registerMembers()
    this._registerRouter()
  }

  /** Joins the mesh. Resolves when the documents are loaded and, after that, an endpoint is known or the join timeout has passed. */
  public async start (): Promise<void> {
    await this._kernel.start()
    await this._kernel.get(ICatchUpService).completed
    await this._waitForEndpoints()
  }

  /**
   * Resolves when the first serving endpoint is known, or after the join timeout. Calls before the first endpoint are
   * refused as not run.
   */
  private async _waitForEndpoints (): Promise<void> {
    const joinTimeout = (this._options.joinTimeoutMs ?? DEFAULT_JOIN_TIMEOUT_MS) as Milliseconds
    const deadlineAt = this._clock.now() + joinTimeout
    while (this._clock.now() < deadlineAt && !this._hasServingEndpoint()) await this._clock.sleep(JOIN_CHECK_INTERVAL_MS)
  }

  private _hasServingEndpoint (): boolean {
    for (const { endpoints } of this._kernel.get(IMembershipService).members.values()) {
      if (endpoints.some((endpoint) => endpoint.state === 'serving')) return true
    }
    return false
  }

  /** Announces that this member leaves, finishes the calls in flight, and closes all connections. */
  public async stop (): Promise<void> {
    await this._kernel.get(IMembershipService).leave(this._clock.now())
    await this._kernel.stop()
  }

  /** Makes a call and buffers its response. Never rejects. */
  public async call (request: IMeshRequest): Promise<IMeshAnswer> {
    const sink = new CollectingSink()
    const outcome = await this.route(request, sink)
    const isComplete = outcome.kind === 'answered'
    return { outcome, status: isComplete ? sink.status : 0, headers: isComplete ? sink.headers : {}, body: sink.body }
  }

  /** Makes a call and streams its response to `sink`. Never rejects. */
  public route (request: IMeshRequest, sink: IAnswerSink): Promise<CallOutcome> {
    return this._kernel.get(IRouterService).route(new ClientRequest(request), sink, this._clock.now())
  }

  private _registerBaseServices (): void {
    const log = this._options.log ?? new LogService({ level: 'warn', fields: { software: SOFTWARE } })
    const metrics = this._options.metrics ?? new MetricsService()
    this._registerInstance(IClockService, this._clock)
    this._registerInstance(IRandomService, new RandomService(randomInt(SEED_LIMIT)))
    this._registerInstance(ILogService, log)
    this._registerInstance(IMetricsService, metrics)
    this._registerInstance(IInvariantService, new InvariantService({ log, metrics }))
    this._registerInstance(ITableService, this._options.table)
    this._registerInstance(IObjectStore, this._options.objects)
  }

  private _registerDocuments (): void {
    const { table, objects } = this._options
    this._registerInstance(IAcceptedDocuments, new AcceptedDocuments({ table, objects }))
    this._kernel.register({
      key: ISnapshotBuilder,
      dependsOn: [IInvariantService],
      create: () => new SnapshotBuilder({ parser: new DocumentParser(), invariants: this._kernel.get(IInvariantService) })
    })
  }

  private _registerMembers (): void {
    const address = this._options.peerAddress as NetworkAddress
    const { serverCredentials, channelCredentials } = this._options
    this._kernel.register({
      key: IPeerTransport,
      dependsOn: [IClockService, ILogService, IMetricsService],
      create: () => new GrpcPeerTransport({
        address,
        clock: this._clock,
        log: this._kernel.get(ILogService),
        metrics: this._kernel.get(IMetricsService),
        ...(serverCredentials === undefined ? {} : { serverCredentials }),
        ...(channelCredentials === undefined ? {} : { channelCredentials })
      })
    })
    registerControlPlane(this._kernel, {
      self: { id: createNodeId(), ...this._location(), peerAddress: address, gateAddress: address, software: SOFTWARE },
      bootstrap: { peers: this._options.peers }
    })
  }

  private _registerRouter (): void {
    const { channelCredentials, keys } = this._options
    this._kernel.register({
      key: IRouterService,
      dependsOn: [IClockService, IRandomService, ILogService, IMetricsService, IInvariantService, IMembershipService, ISnapshotService],
      create: () => {
        const membership = this._kernel.get(IMembershipService)
        const common = {
          clock: this._clock,
          random: this._kernel.get(IRandomService),
          log: this._kernel.get(ILogService),
          metrics: this._kernel.get(IMetricsService),
          invariants: this._kernel.get(IInvariantService)
        }
        const settleClient = new GrpcSettleClient({ membership, channelCredentials })
        return new RouterService({
          ...common,
          membership,
          location: this._location(),
          snapshots: this._kernel.get(ISnapshotService),
          remoteGates: new RemoteGates({ ...common, settleClient, keys })
        })
      }
    })
  }

  private _location (): ILocation {
    return { failureDomain: this._options.failureDomain as FailureDomain, region: this._options.region as Region }
  }

  /** Registers an existing object that the kernel neither starts nor stops. */
  private _registerInstance<TService extends object> (key: IServiceKey<TService>, service: TService): void {
    this._kernel.register({ key, dependsOn: [], isStartedByOwner: true, create: () => service })
  }
}

/** Creates a client; `start` joins the mesh. */
export function createMeshClient (options: IMeshClientOptions): MeshClient {
  return new MeshClient(options)
}
