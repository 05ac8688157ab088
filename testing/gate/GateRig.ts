/** A gate with its server and a stand-in upstream over real sockets, for tests and benchmarks. */
import { request as sendRequest, type IncomingMessage } from 'node:http'
import { ClockService } from '../../src/common/ClockService.js'
import type { IClockService } from '../../src/common/Services.js'
import { InvariantService } from '../../src/common/InvariantService.js'
import { MetricsService } from '../../src/common/MetricsService.js'
import type { EndpointId, NetworkAddress, ServiceName } from '../../src/common/Types.js'
import { GateServer } from '../../src/gate/GateServer.js'
import { GateService, type IGateSettings } from '../../src/gate/GateService.js'
import { HEADER } from '../../src/gate/Types.js'
import { splitAddress } from '../../src/common/HostPort.js'
import type { IBroadcastService } from '../../src/membership/Services.js'
import { EmbeddedObjectStore } from '../../src/platform/EmbeddedObjectStore.js'
import { EmbeddedTableService } from '../../src/platform/EmbeddedTableService.js'
import type { IObjectStore, ITableService } from '../../src/platform/Services.js'
import { RecordingLog } from '../RecordingLog.js'
import { UpstreamStandIn, type IUpstreamStandInOptions } from '../upstream/UpstreamStandIn.js'
import { FakeMembership } from './FakeMembership.js'
import { createFakeDocument, FakeSnapshots, type IFakeDocumentOptions } from './FakeSnapshots.js'

/** Options of `GateRig`. */
export interface IGateRigOptions {
  readonly name: string
  readonly upstream: Partial<IUpstreamStandInOptions>
  readonly document: Partial<IFakeDocumentOptions>
  readonly settings: Partial<IGateSettings>
  readonly table: ITableService
  readonly objects: IObjectStore
  readonly broadcast: IBroadcastService
  readonly clock: IClockService
}

/** A request to the gate. */
export interface IRigRequest {
  readonly route: string
  readonly id: string
  readonly key: string
  readonly path: string
  readonly method: string
  readonly body: string | Buffer
  readonly deadlineMs: number
  readonly headers: Record<string, string>
}

/** Response to a request. `isWhole` is false if the connection was closed before the response was complete. */
export interface IRigResponse {
  readonly status: number
  readonly outcome: string
  readonly reason: string
  readonly text: string
  readonly isWhole: boolean
  readonly headers: IncomingMessage['headers']
}

const CONDITION_TIMEOUT_MS = 5_000
let lastRequest = 0

/** A gate whose upstream is a stand-in. */
export class GateRig {
  public readonly service: string
  public readonly upstream: UpstreamStandIn
  public readonly log = new RecordingLog()
  public readonly metrics = new MetricsService()
  public readonly invariants = new InvariantService({ log: this.log, metrics: this.metrics })
  public readonly membership: FakeMembership
  public readonly snapshots: FakeSnapshots
  public readonly table: ITableService
  /** Set by `start`. */
  public gate!: GateService
  /** Set by `start`. */
  public server!: GateServer
  private readonly _options: Partial<IGateRigOptions>

  constructor (options: Partial<IGateRigOptions> = {}) {
    this.service = options.document?.service ?? 'status'
    this.upstream = new UpstreamStandIn({ service: this.service, ...options.upstream })
    this.membership = new FakeMembership(options.name ?? 'node')
    this.snapshots = new FakeSnapshots([createFakeDocument(options.document)])
    this.table = options.table ?? new EmbeddedTableService()
    this._options = options
  }

  /** Starts upstream, gate and server; resolves when the endpoint is serving. */
  public async start (): Promise<this> {
    await this.upstream.start()
    this._createGate()
    this.gate.start()
    await this.server.start()
    await this.until(() => this.membership.state === 'serving')
    return this
  }

  private _createGate (): void {
    const { log, metrics, invariants, membership, snapshots, table, upstream } = this
    const { objects, broadcast, settings } = this._options
    const clock = this._options.clock ?? new ClockService()
    this.gate = new GateService({
      clock,
      log,
      metrics,
      invariants,
      membership,
      snapshots,
      table,
      broadcast,
      settings,
      objects: objects ?? new EmbeddedObjectStore(),
      upstreams: [{ service: this.service as ServiceName, endpoint: 'endpoint' as EndpointId, address: upstream.address }]
    })
    this.server = new GateServer({ gate: this.gate, snapshots, clock, log, address: '127.0.0.1:0' as NetworkAddress })
  }

  /** Stops immediately, without a drain. */
  public async stop (): Promise<void> {
    this.gate.claims.dispose()
    this.gate.dispose()
    this.upstream.kill()
    await this.server.stop()
  }

  /** Waits until a condition is true; rejects after a timeout. */
  public async until (condition: () => boolean): Promise<void> {
    const end = Date.now() + CONDITION_TIMEOUT_MS
    while (!condition()) {
      if (Date.now() > end) throw new Error('timeout while waiting for a condition')
      await new Promise((resolve) => { setTimeout(resolve, 2) })
    }
  }

  /** Header fields of a request to the gate. */
  public fields (request: Partial<IRigRequest>): Record<string, string> {
    lastRequest++
    const fields: Record<string, string> = {
      [HEADER.requestId]: request.id ?? `request-${lastRequest}`,
      [HEADER.service]: this.service,
      [HEADER.route]: request.route ?? 'read',
      [HEADER.version]: '1',
      [HEADER.deadline]: String(request.deadlineMs ?? 2_000),
      ...request.headers
    }
    if (request.key !== undefined) fields[HEADER.idempotencyKey] = request.key
    return fields
  }

  /** Sends one request on a separate connection and resolves with the response. Never rejects. */
  public send (request: Partial<IRigRequest> = {}): Promise<IRigResponse> {
    const { host, port } = splitAddress(this.server.address)
    const method = request.method ?? (request.body === undefined ? 'GET' : 'POST')
    return new Promise((resolve) => {
      const outgoing = sendRequest({ host, port, method, path: request.path ?? '/a', headers: this.fields(request), agent: false })
      outgoing.on('error', () => { resolve({ status: 0, outcome: '', reason: '', text: '', isWhole: false, headers: {} }) })
      outgoing.on('response', (message) => {
        const chunks: Buffer[] = []
        message.on('data', (chunk: Buffer) => { chunks.push(chunk) })
        message.on('error', () => {})
        message.on('close', () => {
          resolve({
            status: message.statusCode ?? 0,
            outcome: String(message.headers[HEADER.outcome] ?? ''),
            reason: String(message.headers[HEADER.reason] ?? ''),
            text: Buffer.concat(chunks).toString(),
            isWhole: message.complete,
            headers: message.headers
          })
        })
      })
      outgoing.end(request.body)
    })
  }
}

/** Status, outcome and reason in one line, as used in snapshots. */
export function summarise (response: IRigResponse): string {
  if (!response.isWhole) return 'connection broken'
  return [response.status, response.outcome, response.reason].filter((part) => part !== '').join(' ')
}
