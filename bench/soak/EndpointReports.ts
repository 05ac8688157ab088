/** Heartbeats and drain reports from an endpoint of the soak to its local node. */
import { request as sendRequest } from 'node:http'
import type { EndpointStandIn } from '../../testing/mesh/EndpointStandIn.js'
import type { Subject } from './Types.js'

const HOST = '127.0.0.1'
/** Time between two heartbeats. */
export const HEARTBEAT_MS = 200
/** A heartbeat without a response is aborted after this time. */
const RESPONSE_TIMEOUT_MS = 1_000

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
    const { endpoint, service, controlPort, endpointPort } = this._options
    const heartbeat = JSON.parse(endpoint.heartbeat(service, ++this._sequence, this._state)) as Record<string, unknown>
    const body = JSON.stringify({ ...heartbeat, address: `${HOST}:${endpointPort}` })
    const path = `/api/instances/${endpoint.id}/heartbeat`
    return new Promise((resolve) => {
      const target = { host: HOST, port: controlPort, method: 'POST', path, agent: false, timeout: RESPONSE_TIMEOUT_MS }
      const request = sendRequest(target, (response) => {
        response.resume()
        response.on('close', () => resolve(response.complete ? response.statusCode ?? 0 : 0))
      })
      request.on('timeout', () => request.destroy())
      request.on('error', () => resolve(0))
      request.end(body)
    })
  }
}

/** Common prefix of the ids of all incarnations of a node's local endpoint. */
export function endpointIdPrefix (node: Subject): string {
  return `i-${node}.`
}
