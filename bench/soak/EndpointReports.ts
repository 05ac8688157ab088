/** What an endpoint of the soak tells the node beside it. */
import { request as sendRequest } from 'node:http'
import type { EndpointStandIn } from '../../testing/mesh/EndpointStandIn.js'
import type { Subject } from './Types.js'

const HOST = '127.0.0.1'
/** Time between two heartbeats. */
export const HEARTBEAT_MS = 200
/** A heartbeat that has no answer for this time is given up. */
const ANSWER_WITHIN_MS = 1_000

/** What the reports need. */
export interface IEndpointReportsOptions {
  readonly endpoint: EndpointStandIn
  /** Node beside the endpoint. */
  readonly node: Subject
  readonly service: string
  /** Port of the node that takes reports. */
  readonly controlPort: number
  /** Port at which the node reaches the endpoint. */
  readonly endpointPort: number
}

/** Sends heartbeats whether the node is there or not, as an endpoint does. */
export class EndpointReports {
  private _state: 'ready' | 'draining' = 'ready'
  private _sequence = 0
  private _timer: NodeJS.Timeout | undefined

  constructor (private readonly _options: IEndpointReportsOptions) {}

  /** Begins with the heartbeats; a second call has no effect. */
  public start (): void {
    this._timer ??= setInterval(() => { this.send().catch(() => undefined) }, HEARTBEAT_MS)
  }

  public stop (): void {
    clearInterval(this._timer)
  }

  /** The endpoint drains; gives the status of the acknowledgement. */
  public drain (): Promise<number> {
    this._state = 'draining'
    return this.send()
  }

  /** Another incarnation takes the place of the endpoint, at the same address. */
  public replaceEndpoint (keepsId: boolean): void {
    const { endpoint, node } = this._options
    endpoint.born++
    if (!keepsId) endpoint.id = `${endpointPrefix(node)}${endpoint.born}`
    this._state = 'ready'
  }

  /** One heartbeat; gives the status of its acknowledgement, 0 without one. */
  public send (): Promise<number> {
    const { endpoint, service, controlPort, endpointPort } = this._options
    const heartbeat = JSON.parse(endpoint.heartbeat(service, ++this._sequence, this._state)) as Record<string, unknown>
    const body = JSON.stringify({ ...heartbeat, address: `${HOST}:${endpointPort}` })
    const path = `/api/instances/${endpoint.id}/heartbeat`
    return new Promise((resolve) => {
      const target = { host: HOST, port: controlPort, method: 'POST', path, agent: false, timeout: ANSWER_WITHIN_MS }
      const request = sendRequest(target, (answer) => {
        answer.resume()
        answer.on('close', () => resolve(answer.complete ? answer.statusCode ?? 0 : 0))
      })
      request.on('timeout', () => request.destroy())
      request.on('error', () => resolve(0))
      request.end(body)
    })
  }
}

/** What the ids of the endpoints beside a node begin with. */
export function endpointPrefix (node: Subject): string {
  return `i-${node}.`
}
