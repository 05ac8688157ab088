/** Requests that come, and whose senders leave, while this process reads nothing. */
import { spawnSync } from 'node:child_process'

/** One request of a client, as bytes. */
export interface IUnreadRequest {
  readonly method?: string
  readonly path: string
  readonly id: string
  /** Further fields, names and values in turn. */
  readonly fields?: readonly string[]
  readonly body?: string
  /** How long the client waits, in milliseconds; far longer than a test takes if not given. */
  readonly patience?: number
}

const DEFAULT_PATIENCE_MS = 5_000

/** Sends each text on a connection of its own and closes it once the system has taken the bytes. */
const SENDER = `
const { connect } = require('node:net')
const [port, texts] = JSON.parse(process.argv[1])
for (const text of texts) {
  const socket = connect(port, '127.0.0.1', () => socket.write(text, () => socket.destroy()))
}
`

/** Returns when all senders have left. The loop of this process stands still meanwhile, so that nothing has been read by then. */
export function sendAndLeave (port: number, requests: readonly IUnreadRequest[]): void {
  const { status, stderr } = spawnSync(process.execPath, ['-e', SENDER, JSON.stringify([port, requests.map(requestText)])])
  if (status !== 0) throw new Error(`sender failed: ${stderr.toString()}`)
}

/** The request as it goes over a connection. */
export function requestText ({ method = 'GET', path, id, fields = [], body, patience = DEFAULT_PATIENCE_MS }: IUnreadRequest): string {
  const all = ['host', 'mesh.example', 'x-savoryknot-attempt-id', id, 'x-savoryknot-deadline-ms', String(patience), ...fields]
  if (body !== undefined) all.push('content-length', String(Buffer.byteLength(body)))
  let head = `${method} ${path} HTTP/1.1\r\n`
  for (let index = 0; index < all.length; index += 2) head += `${all[index] ?? ''}: ${all[index + 1] ?? ''}\r\n`
  return `${head}\r\n${body ?? ''}`
}
