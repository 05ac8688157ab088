/** Opens listening sockets, and closes them after pending input has been read. */
import type { Server as HttpServer } from 'node:http'
import type { Server } from 'node:net'
import { splitAddress } from './HostPort.js'
import { waitForPendingInput } from './PendingInput.js'
import { SavoryknotError } from './SavoryknotError.js'
import type { NetworkAddress } from './Types.js'

/** Thrown if a server cannot listen on its address. */
export class ListenError extends SavoryknotError {}

/** Resolves when the server listens; rejects with `ListenError`. */
export async function listenAt (server: Server, address: NetworkAddress): Promise<void> {
  const { host, port } = splitAddress(address)
  await new Promise<void>((resolve, reject) => {
    const fail = (error: Error): void => reject(new ListenError(error.message, { step: 'daemon.listen', peer: address, cause: error }))
    server.once('error', fail)
    server.listen(port, host, () => {
      server.off('error', fail)
      resolve()
    })
  })
}

/** Maximum rounds of reading before the close; each connection that is not accepted yet takes a round of its own. */
const MAXIMUM_ROUNDS = 64

/**
 * Closes a server and its connections. A slow process may not have read yet what clients sent long before the close; these requests
 * still get their responses. `inFlight`: number of requests without a complete response.
 */
export async function closeAfterPendingInput (server: HttpServer, inFlight: () => number): Promise<void> {
  let arrivals = 0
  const countArrival = (): void => { arrivals++ }
  server.on('connection', countArrival)
  server.on('request', countArrival)
  let previousArrivals = -1
  for (let round = 0; round < MAXIMUM_ROUNDS && (previousArrivals !== arrivals || inFlight() > 0); round++) {
    previousArrivals = arrivals
    await waitForPendingInput()
  }
  server.close()
  server.closeAllConnections()
}
