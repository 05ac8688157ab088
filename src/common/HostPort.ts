/** Splits and checks network addresses. */
import { isIPv4 } from 'node:net'
import type { NetworkAddress } from './Types.js'

/** Host without brackets, and port. */
export interface IHostPort {
  readonly host: string
  readonly port: number
}

const IPV4_ADDRESS_PATTERN = /^([\d.]{7,15}):(\d{1,5})$/
const MAXIMUM_PORT = 65_535

/** True if the text is an IPv4 address and a port to which a connection can be opened. */
export function isIpv4Address (text: string): text is NetworkAddress {
  const [, host = '', port = ''] = IPV4_ADDRESS_PATTERN.exec(text) ?? []
  return isIPv4(host) && Number(port) >= 1 && Number(port) <= MAXIMUM_PORT
}

/** Splits `host:port`, which must be valid. */
export function splitAddress (address: NetworkAddress): IHostPort {
  const separator = address.lastIndexOf(':')
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '')
  return { host, port: Number(address.slice(separator + 1)) }
}
