/** The router in a program's own process: its calls go straight to the far gate. */
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

/** Sent in the record of the process, for mixed fleets. */
const SOFTWARE = 'savoryknot-embedded'
const SEED_LIMIT = 2 ** 31
const DEFAULT_JOIN_TIMEOUT_MS = 5_000
const JOIN_CHECK_INTERVAL_MS = 10 as Milliseconds

/** What an embedded client needs. */
export interface IMeshClientOptions {
  readonly failureDomain: string
  readonly region: string
  /** `host:port` at which other nodes reach this process; the client listens there. */
  readonly peerAddress: string
  /** `host:port` of peer ports of nodes to join at. */
  readonly peers: readonly string[]
  /** The platform's services, as the daemons use them. */
  readonly table: ITableService
  readonly objects: IObjectStore
  /** Certificates towards other nodes; plain text without them. */
  readonly keys?: INodeKeys
  readonly serverCredentials?: ServerCredentials
  readonly channelCredentials?: ChannelCredentials
  readonly log?: ILogService
  readonly metrics?: IMetricsService
  /** Longest wait of `start` for the endpoints of other nodes. */
  readonly joinTimeoutMs?: number
}

/** Answer to a call. */
export interface IMeshAnswer {
  readonly outcome: CallOutcome
  /** 0 without an answer. */
  readonly status: number
  readonly headers: IncomingHttpHeaders
  /** Empty unless the outcome is `answered`. */
  readonly body: Buffer
}

/** A member of the mesh without upstreams of its own. */
export class MeshClient {
  private readonly _kernel = new Kernel()
  private readonly _clock = new ClockService()

  constructor (private readonly _options: IMeshClientOptions) {
    this._registerFoundation()
    this._registerDocuments()
    this._registerMembers()
    this._registerRouter()
  }

  /** Joins the mesh; resolves when documents and endpoints are known, or when the time to join is over. */
  public async start (): Promise<void> {
    await this._kernel.start()
    await this._kernel.get(ICatchUpService).completed
    await this._waitForEndpoints()
  }

  /** Resolves with the first endpoint of another node. Calls made before it are refused as not run. */
  private async _waitForEndpoints (): Promise<void> {
    const joinTimeout = (this._options.joinTimeoutMs ?? DEFAULT_JOIN_TIMEOUT_MS) as Milliseconds
    const end = this._clock.now() + joinTimeout
    while (this._clock.now() < end && !this._knowsEndpoints()) await this._clock.sleep(JOIN_CHECK_INTERVAL_MS)
  }

  private _knowsEndpoints (): boolean {
    for (const { endpoints } of this._kernel.get(IMembershipService).members.values()) {
      if (endpoints.some((endpoint) => endpoint.state === 'serving')) return true
    }
    return false
  }

  /** Finishes the calls under way, announces the leave, and closes every connection. */
  public async stop (): Promise<void> {
    await this._kernel.get(IMembershipService).leave(this._clock.now())
    await this._kernel.stop()
  }

  /** Makes a call and collects its answer. Never rejects. */
  public async call (request: IMeshRequest): Promise<IMeshAnswer> {
    const sink = new CollectingSink()
    const outcome = await this.route(request, sink)
    const isWhole = outcome.kind === 'answered'
    return { outcome, status: isWhole ? sink.status : 0, headers: isWhole ? sink.headers : {}, body: sink.body }
  }

  /** Makes a call and passes its answer on as it comes. Never rejects. */
  public route (request: IMeshRequest, sink: IAnswerSink): Promise<CallOutcome> {
    return this._kernel.get(IRouterService).route(new ClientRequest(request), sink, this._clock.now())
  }

  private _registerFoundation (): void {
    const log = this._options.log ?? new LogService({ level: 'warn', fields: { software: SOFTWARE } })
    const metrics = this._options.metrics ?? new MetricsService()
    this._provide(IClockService, this._clock)
    this._provide(IRandomService, new RandomService(randomInt(SEED_LIMIT)))
    this._provide(ILogService, log)
    this._provide(IMetricsService, metrics)
    this._provide(IInvariantService, new InvariantService({ log, metrics }))
    this._provide(ITableService, this._options.table)
    this._provide(IObjectStore, this._options.objects)
  }

  private _registerDocuments (): void {
    const { table, objects } = this._options
    this._provide(IAcceptedDocuments, new AcceptedDocuments({ table, objects }))
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

  /** Registers an object that exists already and has no life cycle of its own here. */
  private _provide<TService extends object> (key: IServiceKey<TService>, service: TService): void {
    this._kernel.register({ key, dependsOn: [], isStartedByOwner: true, create: () => service })
  }
}

/** Makes a client; it joins the mesh with `start`. */
export function createMeshClient (options: IMeshClientOptions): MeshClient {
  return new MeshClient(options)
}
