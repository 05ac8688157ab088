/** Malformed responses of an endpoint, written to the socket directly because no server library produces them. */
import type { Socket } from 'node:net'
import type { EndpointMode, EndpointStandIn } from '../../testing/mesh/EndpointStandIn.js'
import type { ScriptName } from './Types.js'

/** Delay of the surplus response behind the expected one: it arrives on an idle kept-alive connection. */
const EXTRA_RESPONSE_DELAY_MS = 5

/** Switches an endpoint to a mode. The returned function restores it and closes the connections that carried malformed responses. */
export function applyEndpointMode (endpoint: EndpointStandIn, mode: EndpointMode | ScriptName): () => void {
  const sockets = new Set<Socket>()
  if (mode !== 'repeats-refusal' && mode !== 'stops-in-head') {
    endpoint.mode = mode
  } else {
    endpoint.script = (socket, fields, { id, path }) => {
      sockets.add(socket)
      if (mode === 'stops-in-head') socket.write(`HTTP/1.1 200 OK\r\n${fields}content-le`)
      else writeResponseAndRefusal(socket, fields, id, path)
    }
    endpoint.mode = 'scripted'
  }
  return () => {
    endpoint.mode = 'well'
    for (const socket of sockets) socket.destroy()
  }
}

/** Writes a complete response followed by a refusal of the same request, where the response to the next request is expected. */
function writeResponseAndRefusal (socket: Socket, markingLines: string, id: string, path: string): void {
  const body = `answer to ${path}`
  socket.write(`HTTP/1.1 200 OK\r\n${markingLines}content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
  const refusal = `HTTP/1.1 503 Service Unavailable\r\nx-savoryknot-attempt-id: ${id}\r\nx-savoryknot-not-executed: 1\r\ncontent-length: 0\r\n\r\n`
  setTimeout(() => { if (socket.writable) socket.write(refusal) }, EXTRA_RESPONSE_DELAY_MS)
}
