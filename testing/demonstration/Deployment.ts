/** A deployment on one machine: stand-ins of platform and upstreams, and six nodes in processes of their own. */
import { existsSync } from 'node:fs'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PlatformStandIn } from '../platform/PlatformStandIn.js'
import { UpstreamStandIn } from '../upstream/UpstreamStandIn.js'
import { runTool, useOperatorKeys } from './ControlTool.js'
import { findFreePorts } from './FreePorts.js'
import { NodeProcess, type INodePlan } from './NodeProcess.js'

const PORTS_PER_NODE = 5

/** Failure domains of the example deployment with their regions. */
const FAILURE_DOMAINS = Object.freeze([
  { failureDomain: 'ulaanbaatar-1', region: 'ulaanbaatar' }, { failureDomain: 'ulaanbaatar-2', region: 'ulaanbaatar' },
  { failureDomain: 'darkhan-1', region: 'darkhan' }, { failureDomain: 'darkhan-2', region: 'darkhan' },
  { failureDomain: 'mandalgovi-1', region: 'mandalgovi' }, { failureDomain: 'mandalgovi-2', region: 'mandalgovi' }
])

/** Services of the example deployment with their owning teams. Each service follows the services that it references. */
export const SERVICES = Object.freeze([
  { service: 'status', owner: 'permits' }, { service: 'inspection', owner: 'inspectors' }, { service: 'fees', owner: 'treasury' }
] as const)

/** Slots of an endpoint; the example documents state the same number. */
const SLOTS = 9
const SERVICE_TIME_MS = 2
const CONNECTION_COST_MS = 1

/** An upstream with the name of its endpoint. */
interface IUpstream {
  readonly endpoint: string
  readonly service: string
  readonly standIn: UpstreamStandIn
}

/** Starts and stops the platform, the upstreams and the nodes. */
export class Deployment {
  public readonly platform = new PlatformStandIn({})
  public nodes: readonly NodeProcess[] = []
  private _upstreams: readonly IUpstream[] = []
  private _folder = ''

  /** With keys, nodes and operators authenticate with certificates. */
  constructor (private readonly _hasKeys = false) {}

  /** Folder of the key files. */
  public get keyFolder (): string {
    return join(this._folder, 'keys')
  }

  /** Starts all processes; resolves with the start time of the slowest node, in milliseconds. */
  public async start (): Promise<number> {
    this._folder = await mkdtemp(join(tmpdir(), 'savoryknot-'))
    await this.platform.start()
    const plans = await this._plan(this.platform.url)
    this.nodes = plans.map((plan) => new NodeProcess(plan, this._folder))
    const times = await Promise.all(this.nodes.map((node) => node.startUntilReady()))
    return Math.max(...times)
  }

  /** Makes later commands use the keys of this team, if keys are enabled. */
  public actAs (team: string): void {
    if (this._hasKeys) useOperatorKeys(this.keyFolder, team)
  }

  /** Number of executions with one idempotency key over all upstreams. */
  public executionsOf (key: string): number {
    return this._upstreams.reduce((sum, upstream) => sum + (upstream.standIn.executions.get(key) ?? 0), 0)
  }

  /** Stops all processes; resolves with the exit codes of the nodes. */
  public async stop (): Promise<Array<number | null>> {
    const codes = await Promise.all(this.nodes.map((node) => node.stop()))
    for (const upstream of this._upstreams) upstream.standIn.kill()
    await this.platform.stop()
    await rm(this._folder, { recursive: true, force: true })
    return codes
  }

  private async _plan (platformUrl: string): Promise<INodePlan[]> {
    const ports = await findFreePorts(FAILURE_DOMAINS.length * PORTS_PER_NODE)
    const plans: INodePlan[] = []
    for (const [index, location] of FAILURE_DOMAINS.entries()) {
      const upstreams = await this._startUpstreams(index + 1)
      const nodePorts = ports.slice(index * PORTS_PER_NODE)
      const name = `node-${index + 1}`
      const keys = this._hasKeys ? await this._makeKeys(name) : undefined
      plans.push({ ...location, ...assignPorts(nodePorts), name, upstreams, platformUrl, keys })
    }
    return plans
  }

  private async _makeKeys (name: string): Promise<INodePlan['keys']> {
    if (!existsSync(this.keyFolder)) await makeOperatorKeys(this.keyFolder)
    await runTool('', ['keys', 'node', name, '--directory', this.keyFolder])
    const path = join(this.keyFolder, name)
    return { certificate: `${path}.pem`, key: `${path}.key`, authority: join(this.keyFolder, 'authority.pem') }
  }

  private async _startUpstreams (number: number): Promise<INodePlan['upstreams']> {
    const started: Array<INodePlan['upstreams'][number]> = []
    for (const { service } of SERVICES) {
      const standIn = new UpstreamStandIn({ service, slots: SLOTS, serviceTimeMs: SERVICE_TIME_MS, connectionCostMs: CONNECTION_COST_MS })
      await standIn.start()
      const endpoint = `${service}-${number}`
      this._upstreams = [...this._upstreams, { endpoint, service, standIn }]
      started.push({ endpoint, service, port: Number(standIn.address.split(':').at(-1)) })
    }
    return started
  }
}

/** Creates an authority, an operator of each team, and an operator of a foreign authority. */
async function makeOperatorKeys (folder: string): Promise<void> {
  await runTool('', ['keys', 'authority', '--directory', folder])
  for (const { owner } of SERVICES) await runTool('', ['keys', 'operator', owner, '--directory', folder])
  await runTool('', ['keys', 'authority', '--directory', `${folder}-foreign`])
  await runTool('', ['keys', 'operator', 'permits', '--directory', `${folder}-foreign`])
}

/** Assigns the first ports of a list to the listeners of a node. */
function assignPorts ([callerPort = 0, gatePort = 0, peerPort = 0, operatorPort = 0, metricsPort = 0]: readonly number[]) {
  return { callerPort, gatePort, peerPort, operatorPort, metricsPort }
}
