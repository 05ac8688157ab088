/** A node with one upstream in the process of the test, with real sockets and a shared embedded platform. */
import { createServer, type AddressInfo } from 'node:net'
import { ClockService } from '../src/common/ClockService.js'
import { createNodeId, createSubmissionId } from '../src/common/Ids.js'
import { InvariantService } from '../src/common/InvariantService.js'
import { Kernel } from '../src/common/Kernel.js'
import { MetricsService } from '../src/common/MetricsService.js'
import { RandomService } from '../src/common/RandomService.js'
import { IClockService, IInvariantService, ILogService, IMetricsService, IRandomService, type IServiceKey } from '../src/common/Services.js'
import type { EndpointId, FailureDomain, NetworkAddress, NodeId, Region, ServiceName } from '../src/common/Types.js'
import { registerControlPlane } from '../src/distribution/ControlPlane.js'
import { ICatchUpService, ISnapshotService } from '../src/distribution/Services.js'
import { AcceptanceService } from '../src/documents/AcceptanceService.js'
import { AcceptedDocuments } from '../src/documents/AcceptedDocuments.js'
import { DocumentParser } from '../src/documents/DocumentParser.js'
import { IAcceptedDocuments, ISnapshotBuilder } from '../src/documents/Services.js'
import { SnapshotBuilder } from '../src/documents/SnapshotBuilder.js'
import { GateServer } from '../src/gate/GateServer.js'
import { GateService } from '../src/gate/GateService.js'
import { GrpcPeerTransport } from '../src/membership/GrpcPeerTransport.js'
import { IMembershipService, IPeerTransport } from '../src/membership/Services.js'
import { IObjectStore, ITableService } from '../src/platform/Services.js'
import { RecordingLog } from './RecordingLog.js'

const SEED = 5

/** Options of `GateNode`. */
export interface IGateNodeOptions {
  readonly table: ITableService
  readonly objects: IObjectStore
  readonly service: string
  readonly upstream: NetworkAddress
}

/** A loopback address whose port was free when it was checked. */
export async function freeAddress (): Promise<NetworkAddress> {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return `127.0.0.1:${port}` as NetworkAddress
}

/** A node with membership, distribution and gate, but without a caller port. */
export class GateNode {
  public readonly log = new RecordingLog()
  private readonly _clock = new ClockService()
  private readonly _metrics = new MetricsService()
  private readonly _invariants = new InvariantService({ log: this.log, metrics: this._metrics })
  private readonly _kernel = new Kernel()
  private _gate: GateService | undefined
  private _server: GateServer | undefined

  constructor (private readonly _options: IGateNodeOptions) {}

  /** Starts the node; returns its peer address. */
  public async start (): Promise<NetworkAddress> {
    const [peerAddress, gateAddress] = [await freeAddress(), await freeAddress()]
    this._provideAll(peerAddress)
    const location = { failureDomain: 'north' as FailureDomain, region: 'east' as Region }
    registerControlPlane(this._kernel, { self: { id: createNodeId() as NodeId, ...location, peerAddress, gateAddress, software: 'test' } })
    await this._kernel.start()
    await this._kernel.get(ICatchUpService).completed
    await this._startGate(gateAddress)
    return peerAddress
  }

  /** Submits a new document. */
  public async submit (text: string): Promise<string> {
    const { table, objects, service } = this._options
    const parser = new DocumentParser()
    const acceptance = new AcceptanceService({ table, objects, clock: this._clock, log: this.log, random: new RandomService(SEED), parser })
    const submission = { id: createSubmissionId(), service: service as ServiceName, expected: 'new' as const, text, author: 'test' }
    return (await acceptance.submit(submission, this._clock.now())).kind
  }

  public async stop (): Promise<void> {
    await this._gate?.stop()
    await this._server?.stop()
    await this._kernel.stop()
  }

  private async _startGate (address: NetworkAddress): Promise<void> {
    const snapshots = this._kernel.get(ISnapshotService)
    const { table, objects, service, upstream } = this._options
    const common = { clock: this._clock, log: this.log, metrics: this._metrics, invariants: this._invariants }
    const upstreams = [{ service: service as ServiceName, endpoint: `${service}-1` as EndpointId, address: upstream }]
    this._gate = new GateService({ ...common, membership: this._kernel.get(IMembershipService), snapshots, table, objects, upstreams })
    this._gate.start()
    this._server = new GateServer({ ...common, gate: this._gate, snapshots, address })
    await this._server.start()
  }

  private _provideAll (address: NetworkAddress): void {
    const { table, objects } = this._options
    const common = { clock: this._clock, log: this.log, metrics: this._metrics }
    this._provide(IClockService, this._clock)
    this._provide(IRandomService, new RandomService(SEED))
    this._provide(ILogService, this.log)
    this._provide(IMetricsService, this._metrics)
    this._provide(IInvariantService, this._invariants)
    this._provide(ITableService, table)
    this._provide(IObjectStore, objects)
    this._provide(IAcceptedDocuments, new AcceptedDocuments({ table, objects }))
    this._provide(ISnapshotBuilder, new SnapshotBuilder({ parser: new DocumentParser(), invariants: this._invariants }))
    this._kernel.register({ key: IPeerTransport, dependsOn: [], create: () => new GrpcPeerTransport({ ...common, address }) })
  }

  private _provide<TService extends object> (key: IServiceKey<TService>, service: TService): void {
    this._kernel.register({ key, dependsOn: [], isStartedByOwner: true, create: () => service })
  }
}
