/** Opens listening sockets. */
import type { Server } from 'node:net'
import { splitAddress } from '../common/HostPort.js'
import { SavoryknotError } from '../common/SavoryknotError.js'
import type { NetworkAddress } from '../common/Types.js'

/** A port could not be opened. */
export class ListenError extends SavoryknotError {}

/** Resolves when the server listens; rejects with `ListenError`. */
export async function listenAt (server: Server, address: NetworkAddress): Promise<void> {
  const { host, port } = splitAddress(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', (error) => reject(new ListenError(error.message, { step: 'daemon.listen', peer: address, cause: error })))
    server.listen(port, host, () => resolve())
  })
}
