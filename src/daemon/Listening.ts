/** Opens listening sockets and splits addresses. */
import type { Server } from 'node:net'
import { SavoryknotError } from '../common/SavoryknotError.js'
import type { NetworkAddress } from '../common/Types.js'

/** A port could not be opened. */
export class ListenError extends SavoryknotError {}

/** Host without brackets, and port. */
export interface IHostPort {
  readonly host: string
  readonly port: number
}

/** Splits `host:port`; the address has been checked with the settings. */
export function splitAddress (address: NetworkAddress): IHostPort {
  const separator = address.lastIndexOf(':')
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '')
  return { host, port: Number(address.slice(separator + 1)) }
}

/** Resolves when the server listens; rejects with `ListenError`. */
export async function listenAt (server: Server, address: NetworkAddress): Promise<void> {
  const { host, port } = splitAddress(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', (error) => reject(new ListenError(error.message, { step: 'daemon.listen', peer: address, cause: error })))
    server.listen(port, host, () => resolve())
  })
}
