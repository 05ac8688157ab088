/** Validation of HTTP header fields and request targets: hop-by-hop fields, limits, and protection against request smuggling. */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'

/** Limits on the head of a request. */
export interface IHeaderRulesOptions {
  /** Maximum number of header fields in one request. */
  readonly maximumFields: number
  /** Maximum total size of names and values in bytes. */
  readonly maximumBytes: number
  /** Maximum size of the request target in bytes. */
  readonly maximumTargetBytes: number
  /** Lower-case names of the fields that may occur once only. */
  readonly singleFields: ReadonlySet<string>
}

/** Defaults of `HeaderRules`. */
export const DEFAULT_HEADER_RULES_OPTIONS: IHeaderRulesOptions = Object.freeze({
  maximumFields: 100,
  maximumBytes: 16_384,
  maximumTargetBytes: 8_192,
  singleFields: new Set(['host'])
})

/** Hop-by-hop fields; `expect` is handled by the server itself. */
const HOP_BY_HOP_FIELDS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'http2-settings'
])

/** Values of `connection` that name no further field. */
const PLAIN_CONNECTION_VALUES: ReadonlySet<string> = new Set(['keep-alive', 'close', 'Keep-Alive', 'Close'])

/** Visible ASCII only: no space, control character or byte above 0x7E. */
const TARGET_PATTERN = /^\/[\x21-\x7e]*$/

/** Fields that delimit the body. */
const FRAMING_FIELDS: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding'])

const FORBIDDEN_IN_VALUE = /[\0\r\n]/
const CHUNKED = 'chunked'
const DIGITS_PATTERN = /^\d{1,15}$/

/** Returns whether the field with this lower-case name is hop-by-hop. */
export function isHopByHop (name: string): boolean {
  return HOP_BY_HOP_FIELDS.has(name)
}

/** Lower-case field names listed in the `connection` field; undefined if it has only the usual options. */
export function namesInConnection (value: string | undefined): ReadonlySet<string> | undefined {
  if (value === undefined || PLAIN_CONNECTION_VALUES.has(value)) return undefined
  return new Set(value.toLowerCase().split(',').map((name) => name.trim()))
}

/** A copy of `headers` without hop-by-hop fields. */
export function endToEndHeaders (headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const listed = namesInConnection(headers.connection)
  const kept: IncomingHttpHeaders = {}
  for (const name in headers) {
    if (HOP_BY_HOP_FIELDS.has(name)) continue
    if (listed !== undefined && listed.has(name)) continue
    kept[name] = headers[name]
  }
  return kept
}

/**
 * Lower-case names and values, alternating, of the fields accepted by `isKept`, without hop-by-hop fields. Takes fields as received, since
 * Node.js joins or drops repeated ones in its `headers`. The fields in `required` are kept even if `connection` names them.
 */
export function endToEndFields (received: readonly string[], required: ReadonlySet<string>, isKept: (name: string) => boolean): string[] {
  const listed = namesInConnection(connectionOf(received))
  const fields: string[] = []
  for (let index = 0; index < received.length; index += 2) {
    const name = received[index]?.toLowerCase() ?? ''
    if (HOP_BY_HOP_FIELDS.has(name) || !isKept(name)) continue
    if (listed !== undefined && listed.has(name) && !required.has(name)) continue
    fields.push(name, received[index + 1] ?? '')
  }
  return fields
}

/** Values of the `connection` fields, joined by commas; undefined if there is none. */
function connectionOf (received: readonly string[]): string | undefined {
  let connection: string | undefined
  for (let index = 0; index < received.length; index += 2) {
    if (received[index]?.toLowerCase() !== 'connection') continue
    const value = received[index + 1] ?? ''
    connection = connection === undefined ? value : `${connection},${value}`
  }
  return connection
}

/** Alternating names and values of the fields accepted by `isKept`; a field with several values is repeated for each. */
export function fieldsOf (headers: IncomingHttpHeaders, isKept: (name: string) => boolean): string[] {
  const fields: string[] = []
  for (const name in headers) {
    if (!isKept(name)) continue
    const value = headers[name]
    if (typeof value === 'string') fields.push(name, value)
    else value?.forEach((item) => fields.push(name, item))
  }
  return fields
}

/** Body size from `content-length`; undefined if the field is missing or is not a number. */
export function contentLength (headers: IncomingHttpHeaders): number | undefined {
  const text = headers['content-length']
  if (text === undefined || !DIGITS_PATTERN.test(text)) return undefined
  return Number(text)
}

/** True if the head delimits the body of a response; otherwise the body ends when the connection is closed. */
export function hasDelimitedBody (headers: IncomingHttpHeaders): boolean {
  if (hasUnsupportedTransferCoding(headers)) return false
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

/** True if the body has a transfer coding other than chunked, which does not delimit the body reliably and is not decoded here. */
export function hasUnsupportedTransferCoding (headers: IncomingHttpHeaders): boolean {
  // A field that was received more than once has an array as its value.
  const coding: unknown = headers['transfer-encoding']
  return coding !== undefined && (typeof coding !== 'string' || coding.toLowerCase() !== CHUNKED)
}

/** Validates the heads of requests. */
export class HeaderRules {
  private readonly _options: IHeaderRulesOptions

  constructor (options: Partial<IHeaderRulesOptions> = {}) {
    this._options = { ...DEFAULT_HEADER_RULES_OPTIONS, ...options }
  }

  /** Describes the fault in the head of `message`; undefined if it is valid. */
  public faultOf (message: IncomingMessage): string | undefined {
    const target = message.url ?? ''
    if (target.length > this._options.maximumTargetBytes) return 'request target too long'
    if (!TARGET_PATTERN.test(target)) return 'request target is not a path'
    for (const name of this._options.singleFields) {
      if (countFields(message.rawHeaders, (candidate) => candidate === name) > 1) return `${name} given twice`
    }
    return this._faultOfFields(message.rawHeaders) ?? faultOfFraming(message)
  }

  private _faultOfFields (fields: readonly string[]): string | undefined {
    if (fields.length > this._options.maximumFields * 2) return 'too many header fields'
    let size = 0
    for (const text of fields) {
      size += text.length
      if (FORBIDDEN_IN_VALUE.test(text)) return 'control character in a header field'
    }
    return size > this._options.maximumBytes ? 'header fields too large' : undefined
  }
}

/** Rejects messages whose end two parsers could determine differently. */
function faultOfFraming (message: IncomingMessage): string | undefined {
  const encoding = message.headers['transfer-encoding']
  const length = message.headers['content-length']
  if (encoding !== undefined && length !== undefined) return 'both content-length and transfer-encoding'
  if (hasUnsupportedTransferCoding(message.headers)) return 'unsupported transfer-encoding'
  if (encoding === undefined && length === undefined) return undefined
  if (length !== undefined && !DIGITS_PATTERN.test(length)) return 'content-length is not a number'
  return countFields(message.rawHeaders, (name) => FRAMING_FIELDS.has(name)) > 1 ? 'content-length or transfer-encoding given twice' : undefined
}

/** Number of fields whose lower-case names are counted by `isCounted`. */
function countFields (fields: readonly string[], isCounted: (name: string) => boolean): number {
  let count = 0
  for (let index = 0; index < fields.length; index += 2) {
    if (isCounted(fields[index]?.toLowerCase() ?? '')) count++
  }
  return count
}
