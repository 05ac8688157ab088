/** An outside caller. */
import { request } from 'undici'

/** What a caller sees of one answer. */
export interface ICallResult {
  readonly status: number
  readonly outcome: string
  readonly body: string
}

/** Sends one call to a node. */
export async function call (node: string, service: string, method: 'GET' | 'POST', path: string, key?: string): Promise<ICallResult> {
  const headers: Record<string, string> = { 'savoryknot-service': service }
  if (key !== undefined) headers['idempotency-key'] = key
  const answer = await request(`${node}${path}`, { method, headers, body: method === 'POST' ? '{"amount": 5000}' : undefined })
  return { status: answer.statusCode, outcome: String(answer.headers['savoryknot-outcome'] ?? ''), body: await answer.body.text() }
}
