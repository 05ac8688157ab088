/** One node of the mesh: its services, its start and its graceful stop. */
import { randomBytes, randomInt } from 'node:crypto'
import { GrpcPeerTransport } from '../../membership/GrpcPeerTransport.js'
import { ClockService } from '../../common/ClockService.js'
import { InvariantService } from '../../common/InvariantService.js'
import type { LogService } from '../../common/LogService.js'
import { MetricsService } from '../../common/MetricsService.js'
import { RandomService } from '../../common/RandomService.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { EndpointId, Milliseconds } from '../../common/Types.js'
import { MetricsServer } from '../../daemon/MetricsServer.js'
import { PlatformHttpClient } from '../../platform/PlatformHttpClient.js'
import type { RowKey, RowRevision } from '../../platform/Types.js'
import { CallerPort } from '../calls/CallerPort.js'
import { EndpointDirectory } from '../calls/EndpointDirectory.js'
import { Placement } from '../calls/Placement.js'
import { RetryAllowance } from '../calls/RetryAllowance.js'
import { ConfigurationService } from '../configuration/ConfigurationService.js'
import { EndpointGate } from '../endpoint/EndpointGate.js'
import { GateServer } from '../endpoint/GateServer.js'
import { LocalEndpoint } from '../endpoint/LocalEndpoint.js'
import { RegistrationService } from '../endpoint/RegistrationService.js'
import { ENDPOINT_REPORT_IGNORED, NODE_STARTED, NODE_STARTING, NODE_STOPPED, NODE_STOPPING } from '../Events.js'
import { NodeQuestions } from '../exchange/NodeQuestions.js'
import type { IMeshAdapter, INodeControl, INodeIdentity } from '../Services.js'
import type { IEndpointReport } from '../Types.js'
import { NodeTable } from '../view/NodeTable.js'
import { ViewService } from '../view/ViewService.js'
import type { IMeshSettings } from './MeshSettings.js'
import { StopSchedule } from './StopSchedule.js'

/** What the daemon needs. */
export interface IMeshDaemonOptions {
  readonly settings: IMeshSettings
  readonly adapter: IMeshAdapter
  readonly log: LogService | ILogService
}

const SEED_LIMIT = 2 ** 31
const TOKEN_BYTES = 6
/** Longest time for which the acknowledgement of a leaving endpoint waits for the store. */
const ACKNOWLEDGEMENT_LIMIT_MS = 500 as Milliseconds
/** Wait beyond one heartbeat for the first report of the endpoint. */
const FIRST_REPORT_SLACK_MS = 500
const QUESTION_TIMEOUT_MS = 350 as Milliseconds
const STORE_TIMEOUT_MS = 2_000 as Milliseconds
const STORE_CONNECTIONS = 4
const STOP_CHECK_INTERVAL_MS = 50 as Milliseconds

/** Wires the parts and carries them from start to stop. */
export class MeshDaemon implements INodeControl {
  private readonly _clock: IClockService = new ClockService()
  private readonly _random = new RandomService(randomInt(SEED_LIMIT))
  private readonly _metrics = new MetricsService()
  private readonly _log: ILogService
  private readonly _configuration: ConfigurationService
  private readonly _nodes: NodeTable
  private readonly _endpoint: LocalEndpoint
  private readonly _gate: EndpointGate
  private readonly _registration: RegistrationService
  private readonly _view: ViewService
  private readonly _gateServer: GateServer
  private readonly _callerPort: CallerPort
  private readonly _directory: EndpointDirectory
  private readonly _ports: ReadonlyArray<{ start (): Promise<void>, stop (): Promise<void> | void }>
  private _settings: IMeshSettings
  private _isServing = false
  private _stopping: Promise<void> | undefined

  constructor (options: IMeshDaemonOptions) {
    const { settings, adapter, log } = options
    const { mesh } = settings
    this._settings = settings
    this._log = log
    const self: INodeIdentity = { name: mesh.node, failureDomain: mesh['failure-domain'], region: mesh.region }
    const invariants = new InvariantService({ log, metrics: this._metrics })
    const common = { clock: this._clock, random: this._random, log, metrics: this._metrics, invariants, self }
    const store = adapter.createStore(new PlatformHttpClient(common, {
      url: `http://${settings.store.address}`, requestTimeout: STORE_TIMEOUT_MS, connections: STORE_CONNECTIONS
    }))
    const { format, decoder, configurationRow } = adapter
    this._configuration = new ConfigurationService({ ...common, decoder })
    this._nodes = new NodeTable(common)
    this._endpoint = new LocalEndpoint(log)
    this._gate = new EndpointGate({ ...common, endpoint: this._endpoint, configuration: this._configuration, format })
    this._registration = new RegistrationService({
      ...common,
      gateAddress: mesh['gate-address'],
      peerAddress: mesh['peer-address'],
      endpoint: this._endpoint,
      table: store,
      firstReportWait: settings.bounds.heartbeat + FIRST_REPORT_SLACK_MS as Milliseconds
    })
    const transport = new GrpcPeerTransport({ ...common, address: mesh['peer-address'] })
    this._view = new ViewService({
      ...common, configuration: this._configuration, nodes: this._nodes, feed: store, configurationRow, transport
    })
    const questions = new NodeQuestions({ clock: this._clock, peerAddress: mesh['peer-address'], timeout: QUESTION_TIMEOUT_MS })
    this._directory = new EndpointDirectory({ ...common, nodes: this._nodes, gate: this._gate, questions })
    this._gateServer = new GateServer({
      ...common,
      gate: this._gate,
      format,
      address: mesh['gate-address'],
      processToken: randomBytes(TOKEN_BYTES).toString('hex'),
      onPeer: (address) => this._view.suggestPeer(address)
    })
    this._callerPort = new CallerPort({
      ...common,
      address: mesh['caller-address'],
      configuration: this._configuration,
      format,
      directory: this._directory,
      placement: new Placement(this._random),
      allowance: this._createAllowance(),
      isReady: () => this._isServing,
      callerService: () => this._endpoint.record?.service ?? this._settings.mesh.service
    })
    const control = adapter.createControlPort({ control: this, readyAddress: mesh['ready-address'], controlAddress: mesh['control-address'], log })
    const metricsServer = new MetricsServer({ address: mesh['metrics-address'], metrics: this._metrics, isReady: () => this.isReady })
    this._ports = [this._gateServer, this._callerPort, control as { start (): Promise<void>, stop (): void }, metricsServer]
  }

  public get isReady (): boolean {
    return this._isServing && this._stopping === undefined
  }

  /** Resolves when the node serves. */
  public async start (): Promise<void> {
    this._log.log(NODE_STARTING, { step: 'daemon.start' })
    for (const port of this._ports) await port.start()
    await this._view.start()
    await this._view.completed
    this._adoptOwnRow()
    this._isServing = true
    this._log.log(NODE_STARTED, {
      step: 'daemon.start', configuration: this._configuration.version, nodes: this._nodes.nodes.size, position: this._nodes.position
    })
  }

  public async report (report: IEndpointReport): Promise<void> {
    const outcome = this._endpoint.report(report, this._clock.now())
    if (outcome === 'outdated') this._logOutdated(report.id, report.bornAt, report.sequence)
    if (report.phase === 'draining') await this._registration.settle(ACKNOWLEDGEMENT_LIMIT_MS)
  }

  public async leave (id: EndpointId, bornAt: number): Promise<void> {
    const outcome = this._endpoint.leave(id, bornAt, this._clock.now())
    if (outcome === 'outdated') this._logOutdated(id, bornAt)
    await this._registration.settle(ACKNOWLEDGEMENT_LIMIT_MS)
  }

  /** Takes settings that may change while the process runs. */
  public reload (settings: IMeshSettings): void {
    this._settings = settings
  }

  /** Says no to the platform at once, goes on serving until callers have gone elsewhere, then ends. */
  public stop (): Promise<void> {
    this._stopping ??= this._stop()
    return this._stopping
  }

  private async _stop (): Promise<void> {
    const schedule = new StopSchedule(this._clock.now(), this._settings.bounds.stop)
    this._log.log(NODE_STOPPING, { step: 'daemon.stop', inFlight: this._inFlight })
    this._callerPort.close()
    for (;;) {
      const step = schedule.next(this._inFlight, this._clock.now())
      if (step === 'announce') await this._registration.leave()
      if (step === 'refuse-nodes') this._gate.close()
      if (step === 'refuse-callers') this._callerPort.refuseNew()
      if (step === 'end') break
      await this._clock.sleep(STOP_CHECK_INTERVAL_MS)
    }
    const unfinished = this._inFlight
    for (const port of this._ports) await port.stop()
    await this._view.stop()
    this._registration.stop()
    this._gate.dispose()
    this._directory.dispose()
    this._log.log(NODE_STOPPED, { step: 'daemon.stop', unfinished })
  }

  private _logOutdated (id: EndpointId, bornAt: number, sequence?: number): void {
    this._log.log(ENDPOINT_REPORT_IGNORED, {
      step: 'endpoint.report', endpoint: id, bornAt, sequence, present: this._endpoint.record?.id, reason: 'of an earlier incarnation, or late'
    })
  }

  private get _inFlight (): number {
    return this._callerPort.inFlight + this._gateServer.inFlight
  }

  private _createAllowance (): RetryAllowance {
    const { bounds } = this._settings
    return new RetryAllowance({ ratio: bounds['retry-share'], slack: bounds['retry-slack'], window: bounds['retry-window'] })
  }

  /** The row that an earlier process of this node left tells of the endpoint that went on running. */
  private _adoptOwnRow (): void {
    const key = this._settings.mesh.node as string as RowKey
    const row = this._nodes.row(key)
    const record = this._nodes.nodes.get(this._settings.mesh.node)?.endpoint
    if (record !== undefined) this._endpoint.adopt(record, this._clock.now())
    this._registration.begin(row?.value === undefined ? undefined : { revision: String(row.position) as RowRevision, value: row.value })
  }
}
