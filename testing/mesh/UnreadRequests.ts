/** Requests that arrive, and whose senders disconnect, while the event loop of this process is blocked. */
import { spawnSync } from 'node:child_process'

/** One request of a client, as bytes. */
export interface IUnreadRequest {
  readonly method?: string
  readonly path: string
  readonly id: string
  /** Further fields, as alternating names and values. */
  readonly fields?: readonly string[]
  readonly body?: string
  /** The caller's timeout in milliseconds; by default far longer than a test runs. */
  readonly callerTimeout?: number
}

const DEFAULT_CALLER_TIMEOUT_MS = 5_000

/** Sends each text on a connection of its own and closes it once the kernel has accepted the bytes. */
const SENDER = `
const { connect } = require('node:net')
const [port, texts] = JSON.parse(process.argv[1])
for (const text of texts) {
  const socket = connect(port, '127.0.0.1', () => socket.write(text, () => socket.destroy()))
}
`

/** Returns once all senders have disconnected. The call blocks the event loop of this process, so that nothing has been read by then. */
export function sendAndDisconnect (port: number, requests: readonly IUnreadRequest[]): void {
  const { status, stderr } = spawnSync(process.execPath, ['-e', SENDER, JSON.stringify([port, requests.map(requestText)])])
  if (status !== 0) throw new Error(`sender failed: ${stderr.toString()}`)
}

/** The bytes of the request on a connection. */
export function requestText ({ method = 'GET', path, id, fields = [], body, callerTimeout = DEFAULT_CALLER_TIMEOUT_MS }: IUnreadRequest): string {
  const allFields = ['host', 'mesh.example', 'x-savoryknot-attempt-id', id, 'x-savoryknot-deadline-ms', String(callerTimeout), ...fields]
  if (body !== undefined) allFields.push('content-length', String(Buffer.byteLength(body)))
  let head = `${method} ${path} HTTP/1.1\r\n`
  for (let index = 0; index < allFields.length; index += 2) head += `${allFields[index] ?? ''}: ${allFields[index + 1] ?? ''}\r\n`
  return `${head}\r\n${body ?? ''}`
}
