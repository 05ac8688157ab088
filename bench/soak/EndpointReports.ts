/** Heartbeats and drain reports from an endpoint of the soak to its local node. */
import type { EndpointStandIn } from '../../testing/mesh/EndpointStandIn.js'
import type { IHeartbeatBody } from './ForeignMessages.js'
import { sendHeartbeat } from './HeartbeatRequest.js'
import type { LoopbackProxy } from './LoopbackProxy.js'
import type { Subject } from './Types.js'

const HOST = '127.0.0.1'
/** Time between two heartbeats. */
export const HEARTBEAT_MS = 200
/** Number of requests that an endpoint executes concurrently, according to its heartbeats. */
const SLOTS = 4

/** Options of EndpointReports. */
export interface IEndpointReportsOptions {
  readonly endpoint: EndpointStandIn
  /** Link over which the node reaches the endpoint. */
  readonly link: LoopbackProxy
  /** Local node of the endpoint. */
  readonly node: Subject
  readonly service: string
  /** Failure domain of the endpoint. */
  readonly zone: string
  /** Port of the node that accepts reports. */
  readonly controlPort: number
}

/** Sends heartbeats whether or not the node is running, as an endpoint of the platform does. */
export class EndpointReports {
  private _state: 'ready' | 'draining' = 'ready'
  private _sequence = 0
  private _timer: NodeJS.Timeout | undefined
  private _service: string

  constructor (private readonly _options: IEndpointReportsOptions) {
    this._service = _options.service
  }

  /** Service of the endpoint. */
  public get service (): string {
    return this._service
  }

  /** Address that the endpoint states in its heartbeats. */
  public get address (): string {
    return `${HOST}:${this._options.link.port}`
  }

  /** Body of the heartbeat with the present sequence number. */
  public get lastHeartbeat (): IHeartbeatBody {
    return {
      address: this.address,
      born: this._options.endpoint.born,
      nodeInfo: { service: this._service, version: 'v1', zone: this._options.zone, slots: SLOTS },
      status: { state: this._state, sequence: this._sequence, coldLeftMs: 0 }
    }
  }

  /** Starts the heartbeats; a second call has no effect. */
  public start (): void {
    this._timer ??= setInterval(() => { this.send().catch(() => undefined) }, HEARTBEAT_MS)
  }

  public stop (): void {
    clearInterval(this._timer)
    this._timer = undefined
  }

  /** Reports that the endpoint drains; resolves with the status of the acknowledgement. */
  public drain (): Promise<number> {
    this._state = 'draining'
    return this.send()
  }

  /** Replaces the endpoint by a new incarnation at the same address. */
  public replaceEndpoint (keepsId: boolean): void {
    const { endpoint, node } = this._options
    endpoint.born++
    if (!keepsId) endpoint.id = `${endpointIdPrefix(node)}${endpoint.born}`
    this._state = 'ready'
  }

  /** Replaces the endpoint by one of another service, whose sequence numbers start anew. */
  public changeService (service: string): void {
    this.replaceEndpoint(false)
    this._service = service
    this._sequence = 0
  }

  /** Sends one heartbeat; resolves with the status of its acknowledgement, 0 without one. */
  public send (): Promise<number> {
    const { endpoint, controlPort } = this._options
    this._sequence++
    return sendHeartbeat({ controlPort, id: endpoint.id, body: JSON.stringify(this.lastHeartbeat) })
  }
}

/** Common prefix of the ids of all incarnations of a node's local endpoint. */
export function endpointIdPrefix (node: Subject): string {
  return `i-${node}.`
}
