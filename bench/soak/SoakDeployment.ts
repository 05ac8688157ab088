/** All nodes of the soak, the store, the operator, and the records of requests, runs and faults. */
import { findFreePorts } from '../../testing/demonstration/FreePorts.js'
import { configurationText, type IRigRoute } from '../../testing/mesh/ConfigurationText.js'
import type { IExecutedRequest } from '../../testing/mesh/EndpointStandIn.js'
import { StoreStandIn } from '../../testing/mesh/StoreStandIn.js'
import { DisruptionLog } from './DisruptionLog.js'
import { ServiceHistory } from './ServiceHistory.js'
import { PORT_NAMES, SoakNode, type ISoakNodeIdentity, type SoakPorts } from './SoakNode.js'
import type { ICallerRecord, IDrain, IForeignReport, IRunRecord, ISettingsChange, Moment } from './Types.js'

export const SERVICES: readonly string[] = Object.freeze(['status', 'fee'])
const DOMAINS = [{ failureDomain: 'z1', region: 'r1' }, { failureDomain: 'z2', region: 'r1' }, { failureDomain: 'z3', region: 'r2' }]
/** Shorter than the execution time of some requests. */
export const SHORT_TIMEOUT_MS = 150
export const ROUTES: readonly IRigRoute[] = Object.freeze([
  { prefix: '/status/', service: 'status' },
  { prefix: '/pay/', service: 'fee', kind: 'non_idempotent' },
  { prefix: '/short/', service: 'status', timeout: SHORT_TIMEOUT_MS }
])
/** Service of the routes that versions of the configuration add. */
export const VERSION_SERVICE = 'status'
const START_TIMEOUT_MS = 30_000
const CHECK_INTERVAL_MS = 50
const ACKNOWLEDGED = 200
/** Execution time of a request, by its path. */
const SHORT_WORK_MS = 20
const LONG_WORK_MS = 900

/** Creates, starts and stops all parts of the soak. */
export class SoakDeployment {
  public readonly store = new StoreStandIn()
  public readonly disruptions = new DisruptionLog()
  public readonly nodes: SoakNode[] = []
  /** Every run at an endpoint, by the id of its request. */
  public readonly runs = new Map<string, IRunRecord[]>()
  public readonly callerRecords: ICallerRecord[] = []
  public readonly drains: IDrain[] = []
  /** Heartbeats of another writer that a node answered. */
  public readonly foreignReports: IForeignReport[] = []
  public readonly services = new ServiceHistory()
  public readonly settingsChanges: ISettingsChange[] = []
  /** Start of the latest run at the endpoint of each node. */
  public readonly lastRunAt = new Map<string, Moment>()
  /** Called after each start of a node's process. */
  public onProcessStarted: (node: SoakNode) => void = () => undefined
  /** Time at which each version of the configuration was confirmed. */
  public readonly versions = new Map<number, Moment>()
  private readonly _startedAt = performance.now()
  /** Ends the present service of each node in `services`. */
  private readonly _endService = new Map<string, (now: Moment) => void>()

  public now (): Moment {
    return performance.now() - this._startedAt
  }

  /** Starts `size` nodes and waits until each accepts the heartbeats of its endpoint. */
  public async start (size: number, folder: string): Promise<void> {
    await this.store.start()
    this.configure()
    // Reserves all ports in one call: separate calls could return the same port twice.
    const freePorts = await findFreePorts(size * PORT_NAMES.length)
    for (let number = 0; number < size; number++) this.nodes.push(await this._createNode(number, freePorts, folder))
    for (const node of this.nodes) {
      this.startService(node, node.reports.service)
      node.start()
    }
    await this._waitUntilReady()
  }

  /** Writes the next version of the configuration, which adds one route. */
  public configure (): void {
    const version = this.versions.size + 1
    const added = Array.from({ length: version }, (_, index) => ({ prefix: versionPrefix(index + 1), service: VERSION_SERVICE }))
    this.store.put('op', 'config', configurationText(version, [...ROUTES, ...added]))
    this.versions.set(version, this.now())
  }

  public node (name: string): SoakNode {
    const found = this.nodes.find(({ identity: place }) => place.name === name)
    if (found === undefined) throw new Error(`unknown node ${name}`)
    return found
  }

  /** Records that the settings of a node name this service from now on; the returned function records that the previous one has ended. */
  public startService ({ identity: { name } }: SoakNode, service: string): (now: Moment) => void {
    const endPrevious = this._endService.get(name) ?? ((): void => undefined)
    this._endService.set(name, this.services.start(name, service, this.now()))
    return endPrevious
  }

  public async shutDown (): Promise<void> {
    await Promise.all(this.nodes.map((node) => node.shutDown()))
    this.store.stop()
  }

  private async _createNode (number: number, freePorts: readonly number[], folder: string): Promise<SoakNode> {
    const domain = DOMAINS[number % DOMAINS.length] ?? { failureDomain: 'z1', region: 'r1' }
    const identity: ISoakNodeIdentity = { name: `node-${number}`, ...domain, service: SERVICES[number % SERVICES.length] ?? 'status' }
    const replaceAddresses = (table: string, key: string, text: string): string => {
      return table === 'nodes' ? this.nodes.find((node) => node.identity.name === key)?.replacePorts(text) ?? text : text
    }
    const node = await SoakNode.create(identity, assignPorts(number, freePorts), this.store, folder, replaceAddresses)
    node.endpoint.onRun = (run) => this._recordRun(run, node)
    node.endpoint.onAbandoned = (id) => this._recordAbandoned(id, identity.name)
    node.onStarted = () => this.onProcessStarted(node)
    node.endpoint.workTimeOf = (path) => path.includes('/long/') ? LONG_WORK_MS : SHORT_WORK_MS
    return node
  }

  private _recordRun ({ id, path, caller }: IExecutedRequest, { identity: { name }, reports }: SoakNode): void {
    const startedAt = this.now()
    const run = { id, node: name, path, service: reports.service, callerService: caller, startedAt, abandonedAt: undefined }
    this.lastRunAt.set(name, startedAt)
    this.runs.set(id, [...this.runs.get(id) ?? [], run])
  }

  private _recordAbandoned (id: string, node: string): void {
    const run = this.runs.get(id)?.find((candidate) => candidate.node === node && candidate.abandonedAt === undefined)
    if (run !== undefined) run.abandonedAt = this.now()
  }

  private async _waitUntilReady (): Promise<void> {
    const deadline = this.now() + START_TIMEOUT_MS
    for (const node of this.nodes) {
      while (await node.reports.send() !== ACKNOWLEDGED) {
        if (this.now() > deadline) throw new Error(`${node.identity.name} did not start:\n${node.lastLines.join('\n')}`)
        await sleep(CHECK_INTERVAL_MS)
      }
    }
  }
}

function assignPorts (number: number, freePorts: readonly number[]): SoakPorts {
  return Object.fromEntries(
    PORT_NAMES.map((name, index) => [name, freePorts[number * PORT_NAMES.length + index] ?? 0])
  ) as unknown as SoakPorts
}

/** Prefix of the route that a version of the configuration adds. */
export function versionPrefix (version: number): string {
  return `/since-${version}/`
}

/** Resolves after `duration` milliseconds. */
export function sleep (duration: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, duration))
}
