/** Heartbeats and drain reports from an endpoint of the soak to its local node. */
import type { EndpointStandIn } from '../../testing/mesh/EndpointStandIn.js'
import type { IHeartbeatBody } from './ForeignMessages.js'
import { sendHeartbeat } from './HeartbeatRequest.js'
import type { Subject } from './Types.js'

const HOST = '127.0.0.1'
/** Time between two heartbeats. */
export const HEARTBEAT_MS = 200

/** Options of EndpointReports. */
export interface IEndpointReportsOptions {
  readonly endpoint: EndpointStandIn
  /** Local node of the endpoint. */
  readonly node: Subject
  readonly service: string
  /** Port of the node that accepts reports. */
  readonly controlPort: number
  /** Port at which the node reaches the endpoint. */
  readonly endpointPort: number
}

/** Sends heartbeats whether or not the node is running, as an endpoint of the platform does. */
export class EndpointReports {
  private _state: 'ready' | 'draining' = 'ready'
  private _sequence = 0
  private _timer: NodeJS.Timeout | undefined

  constructor (private readonly _options: IEndpointReportsOptions) {}

  /** Address that the endpoint states in its heartbeats. */
  public get address (): string {
    return `${HOST}:${this._options.endpointPort}`
  }

  /** Body of the heartbeat with the present sequence number. */
  public get lastHeartbeat (): IHeartbeatBody {
    const { endpoint, service } = this._options
    const heartbeat = JSON.parse(endpoint.heartbeat(service, this._sequence, this._state)) as IHeartbeatBody
    return { ...heartbeat, address: this.address }
  }

  /** Starts the heartbeats; a second call has no effect. */
  public start (): void {
    this._timer ??= setInterval(() => { this.send().catch(() => undefined) }, HEARTBEAT_MS)
  }

  public stop (): void {
    clearInterval(this._timer)
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
