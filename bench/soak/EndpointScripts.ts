/** Answers of an endpoint that no server library writes. */
import type { Socket } from 'node:net'
import type { EndpointMode, EndpointStandIn } from '../../testing/mesh/EndpointStandIn.js'
import type { ScriptName } from './Types.js'

/** Time after the answer at which the extra one is sent, so that it lies on a kept connection. */
const EXTRA_AFTER_MS = 5

/** Lets an endpoint answer so; the function that it gives ends it, and the connections on which it was done. */
export function switchEndpoint (endpoint: EndpointStandIn, mode: EndpointMode | ScriptName): () => void {
  const sockets = new Set<Socket>()
  if (mode !== 'repeats-refusal' && mode !== 'stops-in-head') {
    endpoint.mode = mode
  } else {
    endpoint.script = (socket, fields, { id, path }) => {
      sockets.add(socket)
      if (mode === 'stops-in-head') socket.write(`HTTP/1.1 200 OK\r\n${fields}content-le`)
      else repeatRefusal(socket, fields, id, path)
    }
    endpoint.mode = 'scripted'
  }
  return () => {
    endpoint.mode = 'well'
    for (const socket of sockets) socket.destroy()
  }
}

/** A whole answer, and behind it a refusal of the same request, where the answer to the next one is expected. */
function repeatRefusal (socket: Socket, fields: string, id: string, path: string): void {
  const body = `answer to ${path}`
  socket.write(`HTTP/1.1 200 OK\r\n${fields}content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
  const refusal = `HTTP/1.1 503 Service Unavailable\r\nx-savoryknot-attempt-id: ${id}\r\nx-savoryknot-not-executed: 1\r\ncontent-length: 0\r\n\r\n`
  setTimeout(() => { if (socket.writable) socket.write(refusal) }, EXTRA_AFTER_MS)
}
