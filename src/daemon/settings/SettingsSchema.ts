/** zod schemas of the sections of a settings file. docs/SETTINGS.md is generated from them. */
import { isIP } from 'node:net'
import { z } from 'zod'
import type { EventLevel } from '../../common/Services.js'
import type { FailureDomain, NetworkAddress, Region, ServiceName } from '../../common/Types.js'
import { choiceValue, countValue, durationValue, nameValue, optionalValue, sizeValue, textValue } from '../../common/IniValues.js'

const SECOND_MS = 1_000
const MINUTE_MS = 60 * SECOND_MS
const KIBIBYTE = 1_024
const MEBIBYTE = 1_024 * KIBIBYTE
const GIBIBYTE = 1_024 * MEBIBYTE
const MAXIMUM_PORT = 65_535
const ADDRESS_PATTERN = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/
const LEVELS: readonly EventLevel[] = ['error', 'warn', 'info', 'debug']
const EXPECTED_ADDRESS = 'an IP address and a port such as 10.0.0.7:7400 or [fd00::7]:7400'

/** IP address and port of this process or of another one. */
export function addressValue (description: string): z.ZodType<NetworkAddress> {
  return textValue({ description }, EXPECTED_ADDRESS, parseAddress)
}

/** Undefined unless `text` is an IP address with a port. */
export function parseAddress (text: string): NetworkAddress | undefined {
  const match = ADDRESS_PATTERN.exec(text)
  if (match === null) return undefined
  const family = match[1] === undefined ? 4 : 6
  const isValid = isIP(match[1] ?? match[2] ?? '') === family && Number(match[3]) <= MAXIMUM_PORT
  return isValid ? text as NetworkAddress : undefined
}

function parseUrl (text: string): string | undefined {
  const url = URL.parse?.(text) ?? safeUrl(text)
  if (url === null || !['http:', 'https:'].includes(url.protocol)) return undefined
  return isIP(url.hostname.replace(/^\[|\]$/g, '')) === 0 ? undefined : text.replace(/\/$/, '')
}

function safeUrl (text: string): URL | null {
  try {
    return new URL(text)
  } catch {
    return null
  }
}

function parseAddresses (text: string): readonly NetworkAddress[] | undefined {
  const addresses = text.split(',').map((part) => parseAddress(part.trim()))
  return addresses.some((address) => address === undefined) ? undefined : addresses as NetworkAddress[]
}

function parseFile (text: string): string | undefined {
  return text.includes('\0') ? undefined : text
}

export const NODE_SECTION = z.strictObject({
  'failure-domain': nameValue<FailureDomain>({ description: 'Failure domain in which this process runs.' }),
  region: nameValue<Region>({ description: 'Region of the failure domain.' }),
  'caller-address': addressValue('HTTP port for callers, and for the upstreams on this VM when they call other services.'),
  'gate-address': addressValue('HTTP port for calls from other nodes. Other nodes reach it by this address.'),
  'peer-address': addressValue('RPC port for other nodes. Other nodes reach it by this address.'),
  'operator-address': addressValue('RPC port for savoryknotctl.'),
  'metrics-address': addressValue('HTTP port for /metrics, /health and /ready.')
})

export const UPSTREAM_SECTION = z.strictObject({
  service: nameValue<ServiceName>({ description: 'Service that the upstream runs.' }),
  address: addressValue('HTTP port of the upstream.')
})

export const PLATFORM_SECTION = z.strictObject({
  kind: choiceValue(
    { description: 'embedded: inside this process, for one machine; http: the platform\'s table service and object store.' },
    ['embedded', 'http']
  ),
  url: optionalValue(textValue({ description: 'Address of the platform, for kind http.' }, 'a URL such as http://10.0.0.2:7500', parseUrl)),
  timeout: durationValue({ description: 'Maximum wait for a response of the platform.', default: '2 s' }, { minimum: 10, maximum: MINUTE_MS })
})

export const PEERS_SECTION = z.strictObject({
  addresses: textValue(
    { description: 'RPC ports of other nodes, through which this node joins if the store is unavailable at start.' },
    'IP addresses with ports, separated by commas', parseAddresses
  )
})

export const TLS_SECTION = z.strictObject({
  mode: choiceValue({ description: 'on: certificates on all ports of nodes and operators; off: plaintext, on loopback only.' }, ['on', 'off']),
  certificate: optionalValue(textValue({ description: 'Certificate of this node in PEM, for mode on.' }, 'a file name', parseFile)),
  key: optionalValue(textValue({ description: 'Key of the certificate in PEM, for mode on.' }, 'a file name', parseFile)),
  authority: optionalValue(textValue({ description: 'Certificate in PEM of the authority that signs all node and operator certificates, for mode on.' }, 'a file name', parseFile))
})

export const LOG_SECTION = z.strictObject({
  level: choiceValue({ description: 'Least severe events that are written.', default: 'info' }, LEVELS),
  format: choiceValue({ description: 'json: one object a line; text: human-readable lines.', default: 'json' }, ['json', 'text'])
})

export const LIMITS_SECTION = z.strictObject({
  'joins-per-second': countValue({ description: 'Nodes that may join through this node in a second.', default: '50' }, { minimum: 1, maximum: 10_000 }),
  'caller-connections': countValue({ description: 'Maximum number of open connections of callers.', default: '10000' }, { minimum: 1, maximum: 100_000 }),
  'request-bytes': sizeValue({ description: 'Maximum size of a request body on routes without a limit.', default: '16 MiB' }, { minimum: 0, maximum: GIBIBYTE }),
  'header-bytes': sizeValue({ description: 'Maximum size of a request head.', default: '16 KiB' }, { minimum: KIBIBYTE, maximum: MEBIBYTE }),
  'header-timeout': durationValue({ description: 'Time within which a caller must have sent the complete request head.', default: '10 s' }, { minimum: 100, maximum: MINUTE_MS })
})
