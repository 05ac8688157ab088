/** One VM of the soak: a daemon in a process of its own, its endpoint, and the proxied links of both. */
import { rename, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { DaemonProcess } from '../../testing/demonstration/DaemonProcess.js'
import { REPOSITORY } from '../../testing/demonstration/Repository.js'
import { EndpointStandIn } from '../../testing/mesh/EndpointStandIn.js'
import type { RowTranslation, StoreStandIn } from '../../testing/mesh/StoreStandIn.js'
import { EndpointReports, endpointIdPrefix, HEARTBEAT_MS } from './EndpointReports.js'
import { LoopbackProxy } from './LoopbackProxy.js'

const HOST = '127.0.0.1'
/** Node.js arguments of the deploy file, plus a wall clock that jumps. */
const NODE_ARGUMENTS = ['--max-old-space-size=96', '--max-semi-space-size=4', '--no-wasm-dynamic-tiering', '--no-wasm-tier-up', '--require', join(REPOSITORY, 'bench/soak/JumpingClock.cjs')]
/** Stop timeout of the daemon, in seconds. */
export const STOP_SECONDS = 3

/** Name of a node, its location and the service of its first endpoint. */
export interface ISoakNodeIdentity {
  readonly name: string
  readonly failureDomain: string
  readonly region: string
  readonly service: string
}

/** Proxied links of a node. */
export type LinkName = 'gate' | 'peer' | 'endpoint' | 'store'
export const LINK_NAMES: readonly LinkName[] = ['gate', 'peer', 'endpoint', 'store']

/** Ports of a node's daemon. */
export const PORT_NAMES = ['caller', 'gate', 'peer', 'ready', 'control', 'metrics'] as const
export type SoakPorts = Readonly<Record<typeof PORT_NAMES[number], number>>

/** Starts, signals and restarts the daemon. */
export class SoakNode {
  /** Number of processes started so far. */
  public incarnation = 0
  /** Exits other than by a kill of the soak or with code 0 after a planned stop: code, signal, age in milliseconds, last log line. */
  public readonly unexpectedExits: string[] = []
  /** Durations of planned stops that exceeded the limit, in milliseconds. */
  public readonly overdueStops: number[] = []
  /** True while a fault is applied to the process; other faults skip it. */
  public hasProcessFault = false
  /** Called after each start of the process. */
  public onStarted: () => void = () => undefined
  private _isExitExpected = false
  private _startedAt = 0

  private constructor (
    public readonly identity: ISoakNodeIdentity,
    private readonly _ports: SoakPorts,
    private readonly _settingsFile: string,
    public readonly links: Readonly<Record<LinkName, LoopbackProxy>>,
    public readonly endpoint: EndpointStandIn,
    public readonly reports: EndpointReports,
    private readonly _daemon: DaemonProcess
  ) {}

  /** Creates the endpoint, the links and the settings of a daemon. `translate` replaces the rows of other nodes that this node reads. */
  public static async create (
    identity: ISoakNodeIdentity, ports: SoakPorts, store: StoreStandIn, folder: string, translate: RowTranslation
  ): Promise<SoakNode> {
    const endpoint = new EndpointStandIn(`${endpointIdPrefix(identity.name)}1`)
    await endpoint.start()
    const storePort = await store.openReaderPort((table, key, text) => key === identity.name ? text : translate(table, key, text))
    const links = {
      gate: new LoopbackProxy(ports.gate),
      peer: new LoopbackProxy(ports.peer),
      endpoint: new LoopbackProxy(portOf(endpoint)),
      store: new LoopbackProxy(storePort)
    }
    await Promise.all(Object.values(links).map((link) => link.start()))
    const file = join(folder, `${identity.name}.ini`)
    const { name, service, failureDomain: zone } = identity
    const reports = new EndpointReports({ endpoint, link: links.endpoint, node: name, service, zone, controlPort: ports.control })
    const daemon = new DaemonProcess({ file, nodeArguments: NODE_ARGUMENTS, logFile: join(folder, `${name}.log`) })
    const node = new SoakNode(identity, ports, file, links, endpoint, reports, daemon)
    await node._writeSettings()
    return node
  }

  public get callerPort (): number {
    return this._ports.caller
  }

  public get controlPort (): number {
    return this._ports.control
  }

  public get gateAddress (): string {
    return `${HOST}:${this._ports.gate}`
  }

  public get peerAddress (): string {
    return `${HOST}:${this._ports.peer}`
  }

  public get processId (): number {
    return this._daemon.processId
  }

  public get lastLines (): readonly string[] {
    return this._daemon.lastLines
  }

  public get isRunning (): boolean {
    return this._daemon.isRunning
  }

  /** Replaces the ports in this node's row by those of its links, so that other nodes connect through the proxies. */
  public replacePorts (text: string): string {
    return text.replaceAll(`:${this._ports.gate}"`, `:${this.links.gate.port}"`).replaceAll(`:${this._ports.peer}"`, `:${this.links.peer.port}"`)
  }

  /** Starts the process; the first start also starts the heartbeats of the endpoint. */
  public start (): void {
    this.incarnation++
    this._isExitExpected = false
    this._daemon.start()
    this._startedAt = performance.now()
    this._daemon.exit.then((code) => { if (!this._isExitExpected) this._recordExit(code) }, () => undefined)
    this.reports.start()
    this.onStarted()
  }

  /** Stops the process as planned and records a wrong exit code or an overlong stop. */
  public async stop (): Promise<void> {
    this._isExitExpected = true
    const startedAt = performance.now()
    const code = await this._daemon.stop()
    // A process that has not logged anything does not serve requests yet; SIGTERM may end it before its handler is installed.
    if (code !== 0 && (this._daemon.lastLines.length > 0 || this._daemon.exitSignal !== 'SIGTERM')) this._recordExit(code)
    const took = performance.now() - startedAt
    if (took > (STOP_SECONDS + 1) * 1_000) this.overdueStops.push(Math.round(took))
  }

  public async kill (): Promise<void> {
    this._isExitExpected = true
    await this._daemon.kill()
  }

  public freeze (): void {
    this._daemon.suspend()
  }

  public resume (): void {
    this._daemon.resume()
  }

  /** Skipped before the first log line: Node.js itself is still starting and no handler of SIGHUP can be installed yet. */
  public reload (): void {
    if (this._daemon.lastLines.length > 0) this._daemon.reload()
  }

  /**
   * Replaces the endpoint by one of another service at another address, of which the settings file tells before the first heartbeat. The
   * process gets no signal. The heartbeats are stopped.
   */
  public async changeService (service: string): Promise<void> {
    this.reports.stop()
    this.endpoint.stop()
    await this.endpoint.start()
    await this.links.endpoint.moveTo(portOf(this.endpoint))
    this.reports.changeService(service)
    await this._writeSettings()
  }

  /** Stops the process, the endpoint and the links of this node. */
  public async shutDown (): Promise<void> {
    this.reports.stop()
    this._daemon.resume()
    if (this._daemon.isRunning) await this.stop()
    this.endpoint.stop()
    for (const link of Object.values(this.links)) link.stop()
  }

  /** Replaces the file at once, so that the process does not read a part of it. */
  private async _writeSettings (): Promise<void> {
    const { identity, links, reports, _ports: ports, _settingsFile: file } = this
    const { address: endpointAddress, service } = reports
    await writeFile(`${file}.new`, settingsText({ identity, service, ports, storePort: links.store.port, endpointAddress }))
    await rename(`${file}.new`, file)
  }

  private _recordExit (code: number | null): void {
    const age = Math.round(performance.now() - this._startedAt)
    const lastLine = this._daemon.lastLines.at(-1) ?? ''
    this.unexpectedExits.push(`code ${code ?? 'none'}, signal ${this._daemon.exitSignal ?? 'none'}, after ${age} ms, ${lastLine}`)
  }
}

function portOf ({ address }: EndpointStandIn): number {
  return Number(address.split(':')[1])
}

/** Contents of a settings file. */
interface ISoakSettings {
  readonly identity: ISoakNodeIdentity
  readonly service: string
  readonly ports: SoakPorts
  readonly storePort: number
  readonly endpointAddress: string
}

/** Names the service and the address of the endpoint, as deploy/node.ini does. */
function settingsText ({ identity, service, ports, storePort, endpointAddress }: ISoakSettings): string {
  const addresses = Object.entries(ports).map(([name, port]) => `${name}-address = ${HOST}:${port}`)
  return [
    '[mesh]', `node = ${identity.name}`, `failure-domain = ${identity.failureDomain}`, `region = ${identity.region}`, `service = ${service}`,
    `endpoint-address = ${endpointAddress}`, ...addresses,
    '[store]', `address = ${HOST}:${storePort}`, '[bounds]', `heartbeat = ${HEARTBEAT_MS} ms`, `stop = ${STOP_SECONDS} s`, ''
  ].join('\n')
}
