/** One VM of the soak: a daemon as its own process, its endpoint, and the links around them. */
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { DaemonProcess } from '../../testing/demonstration/DaemonProcess.js'
import { REPOSITORY } from '../../testing/demonstration/Repository.js'
import { EndpointStandIn } from '../../testing/mesh/EndpointStandIn.js'
import type { RowTranslation, StoreStandIn } from '../../testing/mesh/StoreStandIn.js'
import { EndpointReports, endpointPrefix, HEARTBEAT_MS } from './EndpointReports.js'
import { LoopbackProxy } from './LoopbackProxy.js'

const HOST = '127.0.0.1'
/** As the deploy file starts it, with a time of day that jumps. */
const NODE_ARGUMENTS = ['--max-old-space-size=96', '--max-semi-space-size=4', '--no-wasm-dynamic-tiering', '--no-wasm-tier-up', '--require', join(REPOSITORY, 'bench/soak/JumpingClock.cjs')]
/** Time that the daemon has for a planned stop, in seconds. */
export const STOP_SECONDS = 3

/** Where a node stands. */
export interface ISoakPlace {
  readonly name: string
  readonly failureDomain: string
  readonly region: string
  readonly service: string
}

/** Links of a node that can be disturbed. */
export type LinkName = 'gate' | 'peer' | 'endpoint' | 'store'
export const LINK_NAMES: readonly LinkName[] = ['gate', 'peer', 'endpoint', 'store']

/** Ports of a node's daemon. */
export const PORT_NAMES = ['caller', 'gate', 'peer', 'ready', 'control', 'metrics'] as const
export type SoakPorts = Readonly<Record<typeof PORT_NAMES[number], number>>

/** Starts, signals and restarts the daemon. */
export class SoakNode {
  /** Processes started so far. */
  public incarnation = 0
  /** Ends of processes that nobody killed, other than with code 0 after a planned stop: code, signal, age in milliseconds. */
  public readonly failedExits: string[] = []
  /** Planned stops that took longer than allowed, in milliseconds. */
  public readonly lateStops: number[] = []
  /** True while one fault works on the process. */
  public isBusy = false
  private _isExpectedToEnd = false
  private _startedAt = 0

  private constructor (
    public readonly place: ISoakPlace,
    private readonly _ports: SoakPorts,
    public readonly links: Readonly<Record<LinkName, LoopbackProxy>>,
    public readonly endpoint: EndpointStandIn,
    public readonly reports: EndpointReports,
    private readonly _daemon: DaemonProcess
  ) {}

  /** Makes everything around the daemon. `translate`: what this node reads in place of rows of others. */
  public static async create (
    place: ISoakPlace, ports: SoakPorts, store: StoreStandIn, folder: string, translate: RowTranslation
  ): Promise<SoakNode> {
    const endpoint = new EndpointStandIn(`${endpointPrefix(place.name)}1`)
    await endpoint.start()
    const front = await store.openFront((table, key, text) => key === place.name ? text : translate(table, key, text))
    const links = {
      gate: new LoopbackProxy(ports.gate),
      peer: new LoopbackProxy(ports.peer),
      endpoint: new LoopbackProxy(Number(endpoint.address.split(':')[1])),
      store: new LoopbackProxy(front)
    }
    await Promise.all(Object.values(links).map((link) => link.start()))
    const file = join(folder, `${place.name}.ini`)
    await writeFile(file, writeSettings(place, ports, links.store.port))
    const { name, service } = place
    const reports = new EndpointReports({ endpoint, node: name, service, controlPort: ports.control, endpointPort: links.endpoint.port })
    const daemon = new DaemonProcess({ file, nodeArguments: NODE_ARGUMENTS, logFile: join(folder, `${name}.log`) })
    return new SoakNode(place, ports, links, endpoint, reports, daemon)
  }

  public get callerPort (): number {
    return this._ports.caller
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

  /** Text of this node's row as others get it: its ports are those of the links. */
  public throughLinks (text: string): string {
    return text.replaceAll(`:${this._ports.gate}"`, `:${this.links.gate.port}"`).replaceAll(`:${this._ports.peer}"`, `:${this.links.peer.port}"`)
  }

  /** Starts the process, and with the first one the heartbeats of the endpoint. */
  public start (): void {
    this.incarnation++
    this._isExpectedToEnd = false
    this._daemon.start()
    this._startedAt = performance.now()
    this._daemon.exit.then((code) => { if (!this._isExpectedToEnd) this._noteExit(code) }, () => undefined)
    this.reports.start()
  }

  /** A planned stop. */
  public async stop (): Promise<void> {
    this._isExpectedToEnd = true
    const startedAt = performance.now()
    const code = await this._daemon.stop()
    // A process without a line in its log serves nobody; it may end before it can handle the signal.
    if (code !== 0 && (this._daemon.lastLines.length > 0 || this._daemon.endedBy !== 'SIGTERM')) this._noteExit(code)
    const took = performance.now() - startedAt
    if (took > (STOP_SECONDS + 1) * 1_000) this.lateStops.push(Math.round(took))
  }

  public async kill (): Promise<void> {
    this._isExpectedToEnd = true
    await this._daemon.kill()
  }

  public freeze (): void {
    this._daemon.freeze()
  }

  public resume (): void {
    this._daemon.resume()
  }

  /** Before its first line a process cannot have taken care of the signal: Node.js itself is still starting. */
  public reload (): void {
    if (this._daemon.lastLines.length > 0) this._daemon.reload()
  }

  /** Ends everything of this node. */
  public async end (): Promise<void> {
    this.reports.stop()
    this._daemon.resume()
    if (this._daemon.isRunning) await this.stop()
    this.endpoint.stop()
    for (const link of Object.values(this.links)) link.stop()
  }

  private _noteExit (code: number | null): void {
    const age = Math.round(performance.now() - this._startedAt)
    const lastLine = this._daemon.lastLines.at(-1) ?? ''
    this.failedExits.push(`code ${code ?? 'none'}, signal ${this._daemon.endedBy ?? 'none'}, after ${age} ms, ${lastLine}`)
  }
}

function writeSettings (place: ISoakPlace, ports: SoakPorts, storePort: number): string {
  const addresses = Object.entries(ports).map(([name, port]) => `${name}-address = ${HOST}:${port}`)
  return [
    '[mesh]', `node = ${place.name}`, `failure-domain = ${place.failureDomain}`, `region = ${place.region}`, `service = ${place.service}`, ...addresses,
    '[store]', `address = ${HOST}:${storePort}`, '[bounds]', `heartbeat = ${HEARTBEAT_MS} ms`, `stop = ${STOP_SECONDS} s`, ''
  ].join('\n')
}
