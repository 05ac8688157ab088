/** One mesh node: its start, its graceful stop, and the requests of the platform and the endpoint to it. */
import { ClockService } from '../../common/ClockService.js'
import { Kernel } from '../../common/Kernel.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { EndpointId, IDisposable, Milliseconds, Timestamp } from '../../common/Types.js'
import type { RowKey, RowRevision } from '../../platform/Types.js'
import { ENDPOINT_REPORT_IGNORED, NODE_STARTED, NODE_STARTING, NODE_STOPPED, NODE_STOPPING, SETTINGS_RELOADED } from '../Events.js'
import { localServiceOf } from '../endpoint/LocalService.js'
import { ForeignReportError } from '../MeshErrors.js'
import { IConfigurationService, IViewService, type IMeshAdapter, type INodeControl } from '../Services.js'
import type { IEndpointReport, NodeName } from '../Types.js'
import { firstReportWait, registerMesh } from './MeshServices.js'
import type { IMeshSettings } from './MeshSettings.js'
import { MESH_KEY } from './ServiceKeys.js'
import { StopSchedule } from './StopSchedule.js'

/** Settings and dependencies of `MeshDaemon`. */
export interface IMeshDaemonOptions {
  readonly settings: IMeshSettings
  readonly adapter: IMeshAdapter
  readonly log: ILogService
  readonly clock?: IClockService
  /** Reads the settings again, which may change without notice; undefined if they cannot be read. By default they do not change. */
  readonly readSettings?: () => IMeshSettings | undefined
}

/** Maximum time that the acknowledgement of a draining or deregistering endpoint waits for the store. */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 500 as Milliseconds
const STOP_CHECK_INTERVAL_MS = 50 as Milliseconds
/** Minimum time between two reads of the settings because of reports that contradict them. */
const SETTINGS_READ_INTERVAL_MS = 1_000

/** Starts and stops the components of one mesh node. */
export class MeshDaemon implements INodeControl {
  private readonly _kernel = new Kernel()
  private readonly _log: ILogService
  private readonly _clock: IClockService
  /** Name at the start of the process, under which the row is stored. */
  private readonly _node: NodeName
  private readonly _readSettings: () => IMeshSettings | undefined
  private _settings: IMeshSettings
  /** When a report that contradicts the settings last caused them to be read again. */
  private _settingsReadAt = -Infinity
  private _areComponentsStarted = false
  private _isServing = false
  private _reportWait: IDisposable | undefined
  private _starting: Promise<void> | undefined
  private _stopping: Promise<void> | undefined
  /** When a readiness probe first got the response that the node is stopping. */
  private _notReadyReportedAt: Timestamp | undefined

  constructor ({ settings, adapter, log, clock = new ClockService(), readSettings = () => undefined }: IMeshDaemonOptions) {
    this._settings = settings
    this._node = settings.mesh.node
    this._readSettings = readSettings
    this._log = log
    this._clock = clock
    registerMesh(this._kernel, { adapter, log, clock, settings: () => this._settings, control: this, isServing: () => this._isServing })
  }

  public get isReady (): boolean {
    if (!this._isServing || this._stopping !== undefined) return false
    return localServiceOf(this._settings.mesh.service, this._kernel.get(MESH_KEY.endpoint)) !== undefined
  }

  public checkReadiness (): boolean {
    if (this._stopping !== undefined) this._notReadyReportedAt ??= this._clock.now()
    return this.isReady
  }

  /** Resolves when the node serves requests. */
  public async start (): Promise<void> {
    this._log.log(NODE_STARTING, { step: 'daemon.start', ...expectedEndpointFields(this._settings) })
    this._starting = this._kernel.start()
    await this._starting
    // The ports are open: reports can reach this process from here on, even before it serves requests.
    this._areComponentsStarted = true
    const endpoint = this._kernel.get(MESH_KEY.endpoint)
    endpoint.applySettings()
    this._reportWait = this._clock.after(firstReportWait(this._settings), () => endpoint.expireReportWait())
    await this._kernel.get(IViewService).completed
    this._adoptOwnRow()
    this._isServing = true
    const nodes = this._kernel.get(MESH_KEY.nodes)
    this._log.log(NODE_STARTED, {
      step: 'daemon.start', configuration: this._kernel.get(IConfigurationService).version, nodes: nodes.nodes.size, position: nodes.position
    })
  }

  /** Rejects with `ForeignReportError` if the report does not describe the endpoint of this VM. */
  public async report (report: IEndpointReport): Promise<void> {
    const now = this._clock.now()
    const endpoint = this._kernel.get(MESH_KEY.endpoint)
    let outcome = endpoint.report(report, now)
    if (outcome === 'foreign' && this._reloadAfterContradiction(now)) outcome = endpoint.report(report, now)
    if (outcome === 'foreign') throw foreignReportError(report, endpoint.faultOf(report, now))
    if (outcome === 'outdated') this._logOutdated(report.id, report.bornAt, report.sequence)
    if (report.phase === 'draining') await this._kernel.get(MESH_KEY.registration).waitUntilStored(ACKNOWLEDGEMENT_TIMEOUT_MS)
  }

  public async deregister (id: EndpointId, bornAt: number): Promise<void> {
    const outcome = this._kernel.get(MESH_KEY.endpoint).deregister(id, bornAt, this._clock.now())
    if (outcome === 'outdated') this._logOutdated(id, bornAt)
    await this._kernel.get(MESH_KEY.registration).waitUntilStored(ACKNOWLEDGEMENT_TIMEOUT_MS)
  }

  /** Replaces the settings that may change while the process runs. */
  public reload (settings: IMeshSettings): void {
    this._settings = settings
    this._log.log(SETTINGS_RELOADED, { step: 'daemon.reload', ...expectedEndpointFields(settings) })
    if (this._areComponentsStarted) this._kernel.get(MESH_KEY.endpoint).applySettings()
  }

  /** Fails readiness probes at once, keeps serving until callers have switched to other nodes, then stops all components. */
  public stop (): Promise<void> {
    this._stopping ??= this._stop()
    return this._stopping
  }

  private async _stop (): Promise<void> {
    const clock = this._clock
    const requestedAt = clock.now()
    // Components that have not been created cannot be stopped.
    await this._starting
    const callerPort = this._kernel.get(MESH_KEY.callerPort)
    const kind = this._kernel.get(MESH_KEY.endpoint).record?.phase === 'serving' ? 'returning' : 'without-endpoint'
    const schedule = new StopSchedule(requestedAt, this._settings.bounds.stop, kind)
    this._log.log(NODE_STOPPING, { step: 'daemon.stop', kind, inFlight: this._inFlight })
    callerPort.startDraining(schedule)
    for (;;) {
      const step = schedule.next({ inFlight: this._inFlight, notReadyReportedAt: this._notReadyReportedAt }, clock.now())
      if (step === 'announce') await this._kernel.get(MESH_KEY.registration).markLeaving()
      if (step === 'refuse-nodes') this._kernel.get(MESH_KEY.gate).close()
      if (step === 'refuse-callers') callerPort.refuseNewRequests()
      if (step === 'conclude') this._conclude()
      if (step === 'end') break
      await clock.sleep(STOP_CHECK_INTERVAL_MS)
    }
    const unfinished = this._inFlight
    this._reportWait?.dispose()
    await this._kernel.stop()
    this._log.log(NODE_STOPPED, { step: 'daemon.stop', unfinished })
  }

  /** Refuses queued requests as not executed, and responds to running ones that their outcome is unknown. */
  private _conclude (): void {
    this._kernel.get(MESH_KEY.gate).refuseQueued()
    this._kernel.get(MESH_KEY.callerPort).terminateRemaining()
  }

  private get _inFlight (): number {
    return this._kernel.get(MESH_KEY.callerPort).inFlight + this._kernel.get(MESH_KEY.gateServer).inFlight
  }

  /** Reads the settings again, which may have changed before the endpoint did. Returns true if they name another endpoint now. */
  private _reloadAfterContradiction (now: Timestamp): boolean {
    if (now - this._settingsReadAt < SETTINGS_READ_INTERVAL_MS) return false
    this._settingsReadAt = now
    const settings = this._readSettings()
    if (settings === undefined) return false
    const { mesh } = this._settings
    const isChanged = settings.mesh.service !== mesh.service || settings.mesh['endpoint-address'] !== mesh['endpoint-address']
    if (isChanged) this.reload(settings)
    return isChanged
  }

  private _logOutdated (id: EndpointId, bornAt: number, sequence?: number): void {
    const present = this._kernel.get(MESH_KEY.endpoint).record?.id
    this._log.log(ENDPOINT_REPORT_IGNORED, {
      step: 'endpoint.report', endpoint: id, bornAt, sequence, present, reason: 'from an earlier incarnation, or out of order'
    })
  }

  /** Restores the state of the endpoint, which kept running, from the row that the previous process of this node wrote. */
  private _adoptOwnRow (): void {
    const node = this._node
    const nodes = this._kernel.get(MESH_KEY.nodes)
    const row = nodes.row(node as string as RowKey)
    const { endpoint, crashReport } = nodes.node(node) ?? {}
    const isForeign = endpoint !== undefined && !this._kernel.get(MESH_KEY.endpoint).restore(endpoint, this._clock.now())
    if (crashReport !== undefined && !isForeign) this._kernel.get(MESH_KEY.crashes).restore(crashReport, this._clock.now())
    if (row !== undefined) this._kernel.get(MESH_KEY.retryBudget).recordRestart(this._clock.now())
    const storedRow = row?.value === undefined ? undefined : { revision: String(row.position) as RowRevision, value: row.value }
    this._kernel.get(MESH_KEY.registration).startWriting(storedRow)
  }
}

/** What the settings state about the endpoint, for the log. */
function expectedEndpointFields ({ mesh }: IMeshSettings): Readonly<Record<string, string | undefined>> {
  return { service: mesh.service, endpointAddress: mesh['endpoint-address'] }
}

function foreignReportError ({ id, service, address, sequence }: IEndpointReport, fault: string | undefined): ForeignReportError {
  const report = `report ${sequence} of ${id} for service ${service} at ${address}`
  return new ForeignReportError(`${report} is not from the endpoint of this VM: ${fault}`, { step: 'endpoint.report', peer: id })
}
