/** Test fixture: nodes of the mesh in one process, each with its endpoint, on a stand-in of the platform's store. */
import { request as sendRequest, type IncomingHttpHeaders } from 'node:http'
import { Adapter } from '../../platform/Adapter.js'
import { parseMeshSettings, type IMeshSettings } from '../../src/mesh/daemon/MeshSettings.js'
import { MeshDaemon } from '../../src/mesh/daemon/MeshDaemon.js'
import { findFreePorts } from '../demonstration/FreePorts.js'
import { RecordingLog } from '../RecordingLog.js'
import { configurationText, type IRigLimits, type IRigRoute } from './ConfigurationText.js'
import { EndpointStandIn } from './EndpointStandIn.js'
import { StoreStandIn } from './StoreStandIn.js'

/** One node with its endpoint. */
export interface IRigNode {
  readonly daemon: MeshDaemon
  readonly endpoint: EndpointStandIn
  readonly service: string
  readonly ports: Readonly<Record<'caller' | 'gate' | 'peer' | 'ready' | 'control' | 'metrics', number>>
  readonly log: RecordingLog
  readonly settings: IMeshSettings
  /** Content of the settings file, which may change without a signal. */
  readonly settingsFile: { content: IMeshSettings }
  readonly started: Promise<void>
}

/** What the settings of a node say about its endpoint. */
export interface IRigNodeOptions {
  readonly isServiceInSettings?: boolean
  /** Address of an endpoint of the test's own in place of the node's stand-in. */
  readonly endpointAddress?: string
}

/** A response as received by a client. */
export interface IClientResponse {
  /** 0 if the connection ended without a response. */
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
}

/** A request of a client. */
export interface IClientRequest {
  readonly method?: string
  readonly host?: string
  readonly path?: string
  readonly id?: string
  readonly body?: string
  /** Milliseconds. */
  readonly deadline?: number
}

/** A request in flight. */
export interface IPendingRequest {
  readonly response: Promise<IClientResponse>
  /** Closes the connection. */
  readonly disconnect: () => void
}

const CHECK_INTERVAL_MS = 10
const MAXIMUM_CHECKS = 500

/** Starts and stops the store, the nodes and their endpoints. */
export class MeshRig {
  public readonly store = new StoreStandIn()
  public readonly nodes: IRigNode[] = []
  private _sequence = 0

  public async start (routes: readonly IRigRoute[], limits?: Partial<IRigLimits>): Promise<void> {
    await this.store.start()
    this.configure(1, routes, limits)
  }

  /** Writes a version of the configuration. */
  public configure (version: number, routes: readonly IRigRoute[], limits?: Partial<IRigLimits>): void {
    this.store.put('op', 'config', configurationText(version, routes, limits))
  }

  /** Starts a node; it accepts requests once `started` has resolved. */
  public async startNode (
    service: string, failureDomain = 'z1', { isServiceInSettings = true, endpointAddress }: IRigNodeOptions = {}
  ): Promise<IRigNode> {
    const [caller, gate, peer, ready, control, metrics] = await findFreePorts(6) as [number, number, number, number, number, number]
    const name = `node-${this.nodes.length}`
    const endpoint = new EndpointStandIn(`i-${name}`)
    await endpoint.start()
    const loopbackAddress = (port: number): string => `127.0.0.1:${port}`
    const settings = parseMeshSettings('rig', [
      '[mesh]', `node = ${name}`, `failure-domain = ${failureDomain}`, 'region = r1', isServiceInSettings ? `service = ${service}` : '', `endpoint-address = ${endpointAddress ?? endpoint.address}`, `caller-address = ${loopbackAddress(caller)}`,
      `gate-address = ${loopbackAddress(gate)}`, `peer-address = ${loopbackAddress(peer)}`, `ready-address = ${loopbackAddress(ready)}`, `control-address = ${loopbackAddress(control)}`,
      `metrics-address = ${loopbackAddress(metrics)}`, '[store]', `address = ${this.store.address}`, '[bounds]', 'heartbeat = 50 ms', 'stop = 3 s', ''
    ].join('\n'))
    const log = new RecordingLog()
    const settingsFile = { content: settings }
    const daemon = new MeshDaemon({ settings, adapter: new Adapter(), log, readSettings: () => settingsFile.content })
    const ports = { caller, gate, peer, ready, control, metrics }
    const node = { daemon, endpoint, service, ports, log, settings, settingsFile, started: daemon.start() }
    this.nodes.push(node)
    return node
  }

  /** Stops a node's daemon without a planned shutdown and starts a new one. The endpoint keeps running and sends no report. */
  public async restart (node: IRigNode): Promise<IRigNode> {
    await node.daemon['_kernel'].stop()
    const log = new RecordingLog()
    const { settingsFile } = node
    const daemon = new MeshDaemon({ settings: node.settings, adapter: new Adapter(), log, readSettings: () => settingsFile.content })
    const next = { ...node, daemon, log, started: daemon.start() }
    this.nodes.splice(this.nodes.indexOf(node), 1, next)
    return next
  }

  /** Starts a node, reports its endpoint, and waits until every node has learnt of it. */
  public async startServing (service: string, failureDomain?: string): Promise<IRigNode> {
    const node = await this.startNode(service, failureDomain)
    await node.started
    await this.report(node)
    await until(() => this.nodes.every((other) => other.log.events.some(({ name, fields }) => name === 'node-row-changed' && fields.endpoint === node.endpoint.id)))
    return node
  }

  /** Sends a heartbeat; resolves with the status of its acknowledgement. */
  public async report (node: IRigNode, state = 'ready', body?: string): Promise<number> {
    const path = `/api/instances/${node.endpoint.id}/heartbeat`
    return await this.post(node, path, body ?? node.endpoint.heartbeat(node.service, ++this._sequence, state))
  }

  public async post (node: IRigNode, path: string, body: string): Promise<number> {
    return (await send(node.ports.control, { method: 'POST', path, host: 'control', body })).status
  }

  /** Sends a client's request to a node and waits for the response. */
  public async call (node: IRigNode, request: IClientRequest): Promise<IClientResponse> {
    return await send(node.ports.caller, request)
  }

  /** Sends a client's request to a node; the client may disconnect before the response. */
  public startRequest (node: IRigNode, request: IClientRequest): IPendingRequest {
    return startRequest(node.ports.caller, request)
  }

  public async ready (node: IRigNode): Promise<number> {
    return (await send(node.ports.ready, { path: '/api/ready', host: 'ready' })).status
  }

  public async stop (): Promise<void> {
    await Promise.all(this.nodes.map(({ daemon }) => daemon.stop()))
    for (const { endpoint } of this.nodes) endpoint.stop()
    this.store.stop()
  }
}

/** Polls until `isFulfilled` returns true; fails after five seconds. */
export async function until (isFulfilled: () => boolean | Promise<boolean>): Promise<void> {
  for (let check = 0; check < MAXIMUM_CHECKS; check++) {
    if (await isFulfilled()) return
    await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS))
  }
  throw new Error('the awaited condition was not fulfilled in time')
}

async function send (port: number, request: IClientRequest): Promise<IClientResponse> {
  return await startRequest(port, request).response
}

function startRequest (port: number, { method, host, path, id, body, deadline }: IClientRequest): IPendingRequest {
  const headers: Record<string, string> = { host: host ?? 'mesh.example', 'x-savoryknot-attempt-id': id ?? 'attempt', 'x-savoryknot-deadline-ms': String(deadline ?? 1_500) }
  const request = sendRequest({ host: '127.0.0.1', port, method: method ?? 'GET', path: path ?? '/', headers, agent: false })
  const response = new Promise<IClientResponse>((resolve) => {
    request.once('response', (response) => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('end', () => resolve({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString() }))
      response.on('error', () => resolve({ status: 0, headers: {}, body: '' }))
    })
    request.on('error', () => resolve({ status: 0, headers: {}, body: '' }))
  })
  request.end(body)
  return { response, disconnect: () => { request.destroy() } }
}
