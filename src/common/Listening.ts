/** Opens listening sockets. */
import type { Server } from 'node:net'
import { splitAddress } from './HostPort.js'
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
