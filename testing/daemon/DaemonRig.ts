/** Daemons in the test process that communicate over real sockets, with stand-ins for the platform and the upstreams. */
import type { EndpointId, ServiceName } from '../../src/common/Types.js'
import { Daemon } from '../../src/daemon/Daemon.js'
import type { IKeyFileNames } from '../../src/daemon/keys/KeyFiles.js'
import { parseSettings } from '../../src/daemon/settings/SettingsReader.js'
import type { ISettings } from '../../src/daemon/settings/Types.js'
import { findFreePorts } from '../demonstration/FreePorts.js'
import { writeSettings } from '../demonstration/NodeProcess.js'
import { PlatformStandIn } from '../platform/PlatformStandIn.js'
import { UpstreamStandIn } from '../upstream/UpstreamStandIn.js'

/** Options of a node to start. */
export interface IRigNode {
  readonly failureDomain: string
  readonly region: string
  /** Services whose upstreams are on the node's VM. */
  readonly services: readonly string[]
  /** Key files of the node; without them, its connections are unencrypted. */
  readonly keys?: IKeyFileNames
}

/** A started node with its stand-in upstreams. */
export interface IStartedNode {
  readonly daemon: Daemon
  readonly settings: ISettings
  readonly callerUrl: string
  readonly upstreams: readonly UpstreamStandIn[]
}

/** Starts nodes on free ports, one after the other, and stops all of them. */
export class DaemonRig {
  public readonly platform = new PlatformStandIn({})
  public readonly nodes: IStartedNode[] = []

  public start (): Promise<void> {
    return this.platform.start()
  }

  public async startNode (plan: IRigNode): Promise<IStartedNode> {
    const upstreams = plan.services.map((service) => new UpstreamStandIn({ service }))
    for (const upstream of upstreams) await upstream.start()
    const settings = await this._createSettings(plan, upstreams)
    const daemon = new Daemon(settings)
    await daemon.start()
    const node = { daemon, settings, upstreams, callerUrl: `http://${settings.node['caller-address']}` }
    this.nodes.push(node)
    return node
  }

  public async stop (): Promise<void> {
    for (const node of this.nodes) await node.daemon.stop()
    for (const upstream of this.nodes.flatMap((node) => node.upstreams)) upstream.kill()
    await this.platform.stop()
  }

  private async _createSettings (plan: IRigNode, upstreams: readonly UpstreamStandIn[]): Promise<ISettings> {
    const [callerPort = 0, gatePort = 0, peerPort = 0, operatorPort = 0, metricsPort = 0] = await findFreePorts(5)
    const ports = { callerPort, gatePort, peerPort, operatorPort, metricsPort }
    const text = writeSettings({ ...plan, ...ports, name: plan.failureDomain, upstreams: [], platformUrl: this.platform.url })
    const settings = parseSettings('rig.ini', `${text}\n[log]\nlevel = error\n`)
    const nodeUpstreams = upstreams.map((upstream, index) => ({
      endpoint: `${plan.failureDomain}-${index}` as EndpointId, service: plan.services[index] as ServiceName, address: upstream.address
    }))
    return { ...settings, upstreams: nodeUpstreams, keys: plan.keys }
  }
}
