/** Sends a heartbeat to the control port of a node, as an endpoint or as another writer. */
import { request as sendRequest } from 'node:http'

const HOST = '127.0.0.1'
/** A heartbeat without a response is aborted after this time. */
const RESPONSE_TIMEOUT_MS = 1_000

/** One heartbeat. */
export interface IHeartbeatRequest {
  readonly controlPort: number
  /** Id of the endpoint in the path. */
  readonly id: string
  readonly body: string | Buffer
}

/** Resolves with the status of the acknowledgement, 0 without a complete response. */
export function sendHeartbeat ({ controlPort, id, body }: IHeartbeatRequest): Promise<number> {
  const path = `/api/instances/${id}/heartbeat`
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
