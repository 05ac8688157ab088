/** A caller outside the mesh. */
import { request } from 'undici'

/** Result of one call as received by the caller. */
export interface ICallResult {
  readonly status: number
  readonly outcome: string
  readonly body: string
}

/** Sends one call to a node. */
export async function call (node: string, service: string, method: 'GET' | 'POST', path: string, key?: string): Promise<ICallResult> {
  const headers: Record<string, string> = { 'savoryknot-service': service }
  if (key !== undefined) headers['idempotency-key'] = key
  const response = await request(`${node}${path}`, { method, headers, body: method === 'POST' ? '{"amount": 5000}' : undefined })
  return { status: response.statusCode, outcome: String(response.headers['savoryknot-outcome'] ?? ''), body: await response.body.text() }
}
