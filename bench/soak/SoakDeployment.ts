/** All nodes of the soak, the store, the operator, and the records of what happened. */
import { findFreePorts } from '../../testing/demonstration/FreePorts.js'
import { configurationText, type IRigRoute } from '../../testing/mesh/ConfigurationText.js'
import { StoreStandIn } from '../../testing/mesh/StoreStandIn.js'
import { DisruptionLog } from './DisruptionLog.js'
import { PORT_NAMES, SoakNode, type ISoakPlace, type SoakPorts } from './SoakNode.js'
import type { ICallerRecord, IDrain, IRunRecord, Moment } from './Types.js'

const SERVICES = ['status', 'fee']
const DOMAINS = [{ failureDomain: 'z1', region: 'r1' }, { failureDomain: 'z2', region: 'r1' }, { failureDomain: 'z3', region: 'r2' }]
/** Shorter than the work that some requests take. */
export const SHORT_TIMEOUT_MS = 150
export const ROUTES: readonly IRigRoute[] = Object.freeze([
  { prefix: '/status/', service: 'status' },
  { prefix: '/pay/', service: 'fee', kind: 'non_idempotent' },
  { prefix: '/short/', service: 'status', timeout: SHORT_TIMEOUT_MS }
])
const READY_WITHIN_MS = 30_000
const CHECK_INTERVAL_MS = 50
const ACKNOWLEDGED = 200
/** Work of a request, by its path. */
const USUAL_WORK_MS = 20
const LONG_WORK_MS = 900

/** Builds, starts and ends everything. */
export class SoakDeployment {
  public readonly store = new StoreStandIn()
  public readonly disruptions = new DisruptionLog()
  public readonly nodes: SoakNode[] = []
  /** Every run at an endpoint, by the id of its request. */
  public readonly runs = new Map<string, IRunRecord[]>()
  public readonly answers: ICallerRecord[] = []
  public readonly drains: IDrain[] = []
  /** When each version of the configuration was confirmed. */
  public readonly versions = new Map<number, Moment>()
  private readonly _startedAt = performance.now()

  /** The present moment. */
  public now (): Moment {
    return performance.now() - this._startedAt
  }

  /** Starts `size` nodes and waits until each serves both services. */
  public async start (size: number, folder: string): Promise<void> {
    await this.store.start()
    this.configure()
    // All at once, or the same port could be found free twice.
    const free = await findFreePorts(size * PORT_NAMES.length)
    for (let number = 0; number < size; number++) this.nodes.push(await this._createNode(number, free, folder))
    for (const node of this.nodes) node.start()
    await this._untilReady()
  }

  /** Writes the next version, which adds a route of its own. */
  public configure (): void {
    const version = this.versions.size + 1
    const added = Array.from({ length: version }, (_, place) => ({ prefix: versionPrefix(place + 1), service: 'status' }))
    this.store.put('op', 'config', configurationText(version, [...ROUTES, ...added]))
    this.versions.set(version, this.now())
  }

  /** The node of this name. */
  public node (name: string): SoakNode {
    const found = this.nodes.find(({ place }) => place.name === name)
    if (found === undefined) throw new Error(`no node ${name}`)
    return found
  }

  public async end (): Promise<void> {
    await Promise.all(this.nodes.map((node) => node.end()))
    this.store.stop()
  }

  private async _createNode (number: number, free: readonly number[], folder: string): Promise<SoakNode> {
    const domain = DOMAINS[number % DOMAINS.length] ?? { failureDomain: 'z1', region: 'r1' }
    const place: ISoakPlace = { name: `node-${number}`, ...domain, service: SERVICES[number % SERVICES.length] ?? 'status' }
    const translate = (table: string, key: string, text: string): string => {
      return table === 'nodes' ? this.nodes.find((node) => node.place.name === key)?.throughLinks(text) ?? text : text
    }
    const node = await SoakNode.create(place, portsOf(number, free), this.store, folder, translate)
    node.endpoint.onRun = (run) => this._noteRun(run.id, place.name, run.path)
    node.endpoint.onAbandoned = (id) => this._noteAbandoned(id, place.name)
    node.endpoint.workTimeOf = (path) => path.includes('/long/') ? LONG_WORK_MS : USUAL_WORK_MS
    return node
  }

  private _noteRun (id: string, node: string, path: string): void {
    this.runs.set(id, [...this.runs.get(id) ?? [], { id, node, path, startedAt: this.now(), abandonedAt: undefined }])
  }

  private _noteAbandoned (id: string, node: string): void {
    const run = this.runs.get(id)?.find((candidate) => candidate.node === node && candidate.abandonedAt === undefined)
    if (run !== undefined) run.abandonedAt = this.now()
  }

  private async _untilReady (): Promise<void> {
    const deadline = this.now() + READY_WITHIN_MS
    for (const node of this.nodes) {
      while (await node.reports.send() !== ACKNOWLEDGED) {
        if (this.now() > deadline) throw new Error(`${node.place.name} did not start:\n${node.lastLines.join('\n')}`)
        await sleep(CHECK_INTERVAL_MS)
      }
    }
  }
}

function portsOf (number: number, free: readonly number[]): SoakPorts {
  return Object.fromEntries(PORT_NAMES.map((name, place) => [name, free[number * PORT_NAMES.length + place] ?? 0])) as unknown as SoakPorts
}

/** Prefix of the route that a version adds. */
export function versionPrefix (version: number): string {
  return `/since-${version}/`
}

/** Resolves after a time in milliseconds. */
export function sleep (duration: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, duration))
}
