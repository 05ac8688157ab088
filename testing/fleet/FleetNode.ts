/** One node of a fleet: a kernel with the complete control plane, connected to its peers over real sockets. */
import { InvariantService } from '../../src/common/InvariantService.js'
import { Kernel } from '../../src/common/Kernel.js'
import { MetricsService } from '../../src/common/MetricsService.js'
import { RandomService } from '../../src/common/RandomService.js'
import {
  IClockService, IInvariantService, ILogService, IMetricsService, IRandomService, type IServiceKey
} from '../../src/common/Services.js'
import type {
  DocumentVersion, EndpointId, FailureDomain, Milliseconds, NetworkAddress, Region, ServiceName, SubmissionId
} from '../../src/common/Types.js'
import { type IControlPlaneOptions, registerControlPlane } from '../../src/distribution/ControlPlane.js'
import { IHeldDocuments } from '../../src/distribution/HeldDocuments.js'
import { ICatchUpService, IReportService, ISnapshotService, ISourceService } from '../../src/distribution/Services.js'
import { AcceptanceService } from '../../src/documents/AcceptanceService.js'
import { IAcceptedDocuments, type IDocumentParser, ISnapshotBuilder } from '../../src/documents/Services.js'
import { SnapshotBuilder } from '../../src/documents/SnapshotBuilder.js'
import type { SubmissionOutcome } from '../../src/documents/Types.js'
import { GrpcPeerTransport } from '../../src/membership/GrpcPeerTransport.js'
import { IMembershipService, IPeerTransport } from '../../src/membership/Services.js'
import { IObjectStore } from '../../src/platform/Services.js'
import { ShapedTransport } from '../membership/ShapedTransport.js'
import type { FaultyPlatform } from '../platform/FaultyPlatform.js'
import { RecordingLog } from '../RecordingLog.js'
import type { FleetShape } from './FleetShape.js'
import { CountingDocuments } from './CountingDocuments.js'
import { FleetTransport } from './FleetTransport.js'
import type { RegionTraffic } from './RegionTraffic.js'
import { PausableClock } from './PausableClock.js'

/** Options of a fleet node. */
export interface IFleetNodeOptions {
  readonly failureDomain: FailureDomain
  readonly region: Region
  readonly seed: number
  readonly shape: FleetShape
  readonly traffic: RegionTraffic
  readonly platform: Pick<FaultyPlatform, 'table' | 'objects'>
  readonly parser: IDocumentParser
  readonly controlPlane: Omit<IControlPlaneOptions, 'self'>
  /** Service of the node's single endpoint; without a service, the node has no endpoint. */
  readonly service: ServiceName | undefined
  /** Kinds of messages that the node drops instead of sending; used to measure baselines. */
  readonly suppressed: ReadonlySet<string>
}

/** A document submission. */
export interface IFleetSubmission {
  readonly id: string
  readonly service: string
  /** Expected current version; 0 for a new service. */
  readonly expected: number
  /** Document text; undefined deletes the service. */
  readonly text: string | undefined
}

/** Timeout for connecting to a peer that does not respond. */
const DIAL_TIMEOUT_MS = 1_000 as Milliseconds

/** A node is started and stopped at most once; a restart creates a new instance. */
export class FleetNode {
  public readonly clock = new PausableClock()
  public readonly log = new RecordingLog()
  public readonly metrics = new MetricsService()
  public readonly invariants = new InvariantService({ log: this.log, metrics: this.metrics })
  public readonly kernel = new Kernel()
  public readonly acceptance: AcceptanceService
  private readonly _random: RandomService
  private readonly _grpc: GrpcPeerTransport
  private readonly _transport: FleetTransport
  private _address: NetworkAddress | undefined

  constructor (public readonly options: IFleetNodeOptions) {
    const { clock, log, metrics } = this
    const { shape, failureDomain, region, traffic, platform, suppressed } = options
    this._random = new RandomService(options.seed)
    this._grpc = new GrpcPeerTransport({ address: '127.0.0.1:0' as NetworkAddress, clock, log, metrics })
    const shaped = new ShapedTransport({ inner: this._grpc, failureDomain, shape, clock, dialTimeout: DIAL_TIMEOUT_MS })
    this._transport = new FleetTransport({ inner: shaped, clock, region, traffic, suppressed })
    this.acceptance = new AcceptanceService({ ...platform, parser: options.parser, clock, random: this._random, log })
  }

  public get address (): NetworkAddress {
    return this._address ?? '' as NetworkAddress
  }

  /** Starts all services without waiting for the catch-up. */
  public async start (): Promise<void> {
    const address = await this._grpc.bind()
    this._address = address
    const { failureDomain, region, shape, service, controlPlane } = this.options
    shape.domains.set(address, failureDomain)
    this._registerStandIns()
    const self = { failureDomain, region, peerAddress: address, gateAddress: address, software: 'fleet' }
    registerControlPlane(this.kernel, { ...controlPlane, self })
    await this.kernel.start()
    if (service === undefined) return
    const endpoint = { id: `${address}/0` as EndpointId, service, state: 'serving' as const, slots: 9, since: this.clock.now() }
    this.get(IMembershipService).announceEndpoint(endpoint, this.clock.now())
  }

  public get<TService extends object> (key: IServiceKey<TService>): TService {
    return this.kernel.get(key)
  }

  /** Version of the active document of a service; 0 if there is none. */
  public activeVersion (service: ServiceName): number {
    return this.get(ISnapshotService).current.documents.get(service)?.version ?? 0
  }

  /** Digest over all stored document versions. */
  public get heldDigest (): bigint {
    return this.get(IHeldDocuments).digest
  }

  public get isCaughtUp (): boolean {
    return this.get(ICatchUpService).source !== undefined
  }

  public get reports (): IReportService {
    return this.get(IReportService)
  }

  /** Submits through this node, as its operator port does. With `isReplyLost`, the node does not learn the outcome. */
  public async submit (draft: IFleetSubmission, isReplyLost = false): Promise<SubmissionOutcome> {
    const { id, service, expected, text } = draft
    const version = expected === 0 ? 'new' as const : expected as DocumentVersion
    const submission = { id: id as SubmissionId, service: service as ServiceName, expected: version, text, author: 'fleet' }
    const outcome = await this.acceptance.submit(submission, this.clock.now())
    if (outcome.kind === 'accepted' && !isReplyLost) this.get(ISourceService).recordAccepted(outcome.change, text ?? '', this.clock.now())
    return outcome
  }

  public pause (): void {
    this.clock.pause()
  }

  public resume (): void {
    this.clock.resume()
  }

  /** Simulates a crash: the node stops without notifying its peers. */
  public async kill (): Promise<void> {
    this._transport.kill()
    await this._close()
  }

  /** Announces that the node leaves, then stops it. */
  public async stop (): Promise<void> {
    await this.get(IMembershipService).leave(this.clock.now())
    await this._close()
  }

  private async _close (): Promise<void> {
    this.clock.resume()
    this.options.shape.domains.delete(this.address)
    await Promise.all([this.kernel.stop(), this._grpc.close()])
  }

  private _registerStandIns (): void {
    const { table, objects } = this.options.platform
    this._provide(IClockService, this.clock)
    this._provide(IRandomService, this._random)
    this._provide(ILogService, this.log)
    this._provide(IMetricsService, this.metrics)
    this._provide(IInvariantService, this.invariants)
    this._provide(IPeerTransport, this._transport)
    this._provide(IObjectStore, objects)
    this._provide(IAcceptedDocuments, new CountingDocuments({ table, objects }, this.options.region, this.options.traffic))
    this._provide(ISnapshotBuilder, new SnapshotBuilder({ parser: this.options.parser, invariants: this.invariants }))
  }

  private _provide<TService extends object> (key: IServiceKey<TService>, service: TService): void {
    this.kernel.register({ key, dependsOn: [], create: () => service })
  }
}
