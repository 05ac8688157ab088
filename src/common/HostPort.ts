/** Splits network addresses. */
import type { NetworkAddress } from './Types.js'

/** Host without brackets, and port. */
export interface IHostPort {
  readonly host: string
  readonly port: number
}

/** Splits `host:port`, which must be valid. */
export function splitAddress (address: NetworkAddress): IHostPort {
  const separator = address.lastIndexOf(':')
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '')
  return { host, port: Number(address.slice(separator + 1)) }
}
