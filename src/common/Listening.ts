/** Opens listening sockets, and closes them when what came has been read. */
import type { Server as HttpServer } from 'node:http'
import type { Server } from 'node:net'
import { splitAddress } from './HostPort.js'
import { pendingInputRead } from './PendingInput.js'
import { SavoryknotError } from './SavoryknotError.js'
import type { NetworkAddress } from './Types.js'

/** A port could not be opened. */
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

/** Connections that nobody has accepted take a turn each. */
const MOST_TURNS = 64

/**
 * Closes a server and its connections. A process that is slow may not have read yet what was sent long before; that still gets
 * its answer. `inFlight`: requests without a whole answer.
 */
export async function closeOnceRead (server: HttpServer, inFlight: () => number): Promise<void> {
  let came = 0
  const note = (): void => { came++ }
  server.on('connection', note)
  server.on('request', note)
  let known = -1
  for (let turn = 0; turn < MOST_TURNS && (known !== came || inFlight() > 0); turn++) {
    known = came
    await pendingInputRead()
  }
  server.close()
  server.closeAllConnections()
}
