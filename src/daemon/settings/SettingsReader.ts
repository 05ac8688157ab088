/** Reads and validates a settings file. */
import { readFileSync } from 'node:fs'
import type { z } from 'zod'
import { isName } from '../../common/Ids.js'
import { IniSectionReader } from '../../common/IniSectionReader.js'
import type { EndpointId, NetworkAddress } from '../../common/Types.js'
import type { IUpstreamSettings } from '../../gate/Services.js'
import type { IKeyFileNames } from '../keys/KeyFiles.js'
import { splitAddress } from '../../common/HostPort.js'
import { SettingsError } from './SettingsError.js'
import {
  LIMITS_SECTION, LOG_SECTION, NODE_SECTION, PEERS_SECTION, PLATFORM_SECTION, TLS_SECTION, UPSTREAM_SECTION
} from './SettingsSchema.js'
import type { ISettings } from './Types.js'

const UPSTREAM_PREFIX = 'upstream.'
const KNOWN_SECTIONS = ['node', 'platform', 'peers', 'tls', 'log', 'limits']
const LOOPBACK_PATTERN = /^(?:127\.|::1$)/
/** A larger file is refused, since it cannot be a settings file. */
const MAXIMUM_BYTES = 1024 * 1024

/** Reads and validates a settings file. Throws `SettingsError` with every fault. */
export function readSettings (file: string): ISettings {
  return new SettingsParser(file, readText(file)).result()
}

/** Parses and validates `text`. `file` is the file name in error messages. */
export function parseSettings (file: string, text: string): ISettings {
  return new SettingsParser(file, text).result()
}

function readText (file: string): string {
  try {
    const text = readFileSync(file, 'utf8')
    if (text.length > MAXIMUM_BYTES) throw new Error(`is larger than ${MAXIMUM_BYTES} bytes`)
    return text
  } catch (error) {
    throw new SettingsError(file, [{ section: '', key: '', message: (error as Error).message }])
  }
}

/** Parser of the text of one settings file. */
class SettingsParser {
  private readonly _reader: IniSectionReader

  constructor (private readonly _file: string, text: string) {
    this._reader = new IniSectionReader(text)
  }

  public result (): ISettings {
    this._refuseUnknownSections()
    const node = this._reader.required('node', NODE_SECTION)
    const platform = this._reader.required('platform', PLATFORM_SECTION)
    const tls = this._reader.required('tls', TLS_SECTION)
    const log = this._reader.optional('log', LOG_SECTION)
    const limits = this._reader.optional('limits', LIMITS_SECTION)
    const peers = this._reader.names.includes('peers') ? this._reader.required('peers', PEERS_SECTION) : undefined
    const upstreams = this._readUpstreams()
    if (platform !== undefined) this._checkPlatform(platform)
    const keys = tls === undefined ? undefined : this._readKeys(tls)
    if (node !== undefined && tls?.mode === 'off') this._checkLoopback(node)
    if (node === undefined || platform === undefined || log === undefined || limits === undefined || this._reader.faults.length > 0) {
      throw new SettingsError(this._file, this._reader.faults)
    }
    return Object.freeze({ node, platform, log, limits, upstreams, keys, peers: peers?.addresses ?? [] })
  }

  private _refuseUnknownSections (): void {
    for (const section of this._reader.names) {
      if (KNOWN_SECTIONS.includes(section) || section.startsWith(UPSTREAM_PREFIX)) continue
      this._reader.addFault(section, '', `unknown section; expected ${KNOWN_SECTIONS.map((name) => `[${name}]`).join(', ')} or [upstream.NAME]`)
    }
  }

  private _readUpstreams (): readonly IUpstreamSettings[] {
    const upstreams: IUpstreamSettings[] = []
    for (const section of this._reader.names) {
      if (!section.startsWith(UPSTREAM_PREFIX)) continue
      const endpoint = section.slice(UPSTREAM_PREFIX.length)
      if (!isName(endpoint)) this._reader.addFault(section, '', 'expected a name of lower-case letters, digits and inner hyphens after the dot')
      const values = this._reader.required(section, UPSTREAM_SECTION)
      if (values !== undefined) upstreams.push({ ...values, endpoint: endpoint as EndpointId })
    }
    return upstreams
  }

  private _checkPlatform (platform: z.infer<typeof PLATFORM_SECTION>): void {
    if (platform.kind === 'http' && platform.url === undefined) this._reader.addFault('platform', 'url', 'missing; expected a URL, since kind is http')
    if (platform.kind === 'embedded' && platform.url !== undefined) this._reader.addFault('platform', 'url', 'unused, since kind is embedded')
  }

  private _readKeys (tls: z.infer<typeof TLS_SECTION>): IKeyFileNames | undefined {
    const { certificate, key, authority } = tls
    const files = Object.entries({ certificate, key, authority })
    if (tls.mode === 'off') {
      for (const [name, file] of files) if (file !== undefined) this._reader.addFault('tls', name, 'unused, since mode is off')
      return undefined
    }
    for (const [name, file] of files) if (file === undefined) this._reader.addFault('tls', name, 'missing; expected a file name, since mode is on')
    if (certificate === undefined || key === undefined || authority === undefined) return undefined
    return { certificate, key, authority }
  }

  private _checkLoopback (node: z.infer<typeof NODE_SECTION>): void {
    for (const key of ['gate-address', 'peer-address', 'operator-address'] as const) {
      const address: NetworkAddress = node[key]
      if (LOOPBACK_PATTERN.test(splitAddress(address).host)) continue
      this._reader.addFault('node', key, `found ${address}; expected a loopback address, since tls mode is off`)
    }
  }
}
