/** Odd but legal requests of clients as raw bytes, and what an endpoint must receive of them. */
import { createHash } from 'node:crypto'
import fastCheck, { type Arbitrary } from 'fast-check'
import type { IReceivedRequest } from './RequestReader.js'

/** Names and values, each character one byte. */
export type FieldList = ReadonlyArray<readonly [name: string, value: string]>

/** One request of a client. */
export interface IOddRequest {
  readonly method: string
  readonly target: string
  /** In addition to host, id and framing. */
  readonly fields: FieldList
  readonly body: Buffer
  /** `none`: no framing field, and the body is empty. */
  readonly framing: 'none' | 'length' | 'chunked'
  /** Sizes of the chunks, repeated until the body ends. */
  readonly chunkBytes: readonly number[]
  /** Text behind the size of each chunk. */
  readonly chunkExtension: string
  readonly trailers: FieldList
  /** Time in milliseconds that the client states to wait. */
  readonly timeout: number
}

/** The methods that Node.js parses, except CONNECT, which has no path. */
export const METHODS: readonly string[] = Object.freeze([
  'GET', 'HEAD', 'POST', 'PUT', 'DELETE', 'OPTIONS', 'TRACE', 'PATCH', 'COPY', 'LOCK', 'MKCOL', 'MOVE', 'PROPFIND', 'PROPPATCH', 'SEARCH',
  'UNLOCK', 'BIND', 'REBIND', 'UNBIND', 'ACL', 'REPORT', 'MKACTIVITY', 'CHECKOUT', 'MERGE', 'M-SEARCH', 'NOTIFY', 'SUBSCRIBE',
  'UNSUBSCRIBE', 'PURGE', 'MKCALENDAR', 'LINK', 'UNLINK', 'SOURCE', 'QUERY'
])

/** Targets within the limit of 16,384 bytes for a head. */
export const TARGETS: readonly string[] = Object.freeze([
  '/', '//', '///a//', '/./', '/../', '/a/../b', '/a/./b/..', '/%2e%2e/', '/%2E%2e%2f', '/a%2Fb', '/%00', '/%0d%0a', '/%', '/%zz', '/%c3%28',
  '/a;b=c', '/;', '/a;?b;c', '/?', '/a?', '/a?a?b', '/??', '/a?b=%00&c=%', '/a?%20+%2B', '/a?=&&=', '/a&b=c', '/~!$&\'()*+,;=:@-._',
  '//mesh.example/a', '/http://mesh.example/a', '/a:80', '/@', '/a/b/', '/A/b', '/"<>\\^`{|}', `/${'long/'.repeat(3_000)}`,
  `/a?${'q=1&'.repeat(3_700)}`
])

/** Fields that a client may send and that have a meaning between nodes or to the endpoint. */
export const MESH_FIELD_FORGERIES: FieldList = Object.freeze([
  ['X-Savoryknot-Caller-Service', 'forged'], ['x-savoryknot-caller-service', 'forged'], ['X-SAVORYKNOT-CALLER-SERVICE', ''],
  ['X-Savoryknot-Caller-Service', '%73tatus'], ['X-Savoryknot-Caller-Service', 'a;b,c'], ['X-Savoryknot-Expect-Instance', 'i-other'],
  ['savoryknot-call', 'x;r;fee;i-other;forged;i;0;9000;9000'], ['Savoryknot-Call', '%'], ['SAVORYKNOT-PURPOSE', 'probe'],
  ['savoryknot-purpose', 'settle'], ['savoryknot-peer', '127.0.0.1:1'], ['savoryknot-process', 'x'], ['savoryknot-request-id', 'x']
])

const HOP_BY_HOP_FIELDS: FieldList = Object.freeze([
  ['Keep-Alive', 'timeout=5'], ['Proxy-Connection', 'keep-alive'], ['TE', 'trailers'], ['te', 'gzip;q=0.5'], ['Trailer', 'X-Late'],
  ['Proxy-Authorization', 'Basic eA==']
])
const HOP_BY_HOP_NAMES: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'http2-settings'
])
const END_TO_END_FIELDS: FieldList = Object.freeze([
  ['X-One', '1'], ['x-ONE', '2'], ['X-Named', 'dropped if named in Connection'], ['X-Empty', ''], ['X-Commas', ',,'], ['X-Tab', 'a\tb  c'],
  ['X-Bytes', '\x80\xff\xc3\xa4'], ['Cookie', 'a=1'], ['cookie', 'b=2'], ['Set-Cookie', 'a'], ['set-cookie', 'b'], ['Accept', 'text/*'],
  ['ACCEPT', ''], ['Content-Type', 'a/b'], ['Content-Encoding', 'br'], ['User-Agent', 'u'], ['Via', '1.0 x'], ['Forwarded', 'for=x'],
  ['Host2', 'x'], ['x_savoryknot_caller_service', 'other name'], ['X-Savoryknot-Caller-Service2', 'other name'], ['constructor', 'c'],
  ['tostring', 's'], ['123', 'n'], ['0', 'z'], ['!#$%&\'*+-.^_`|~', 'token'], ['Range', 'bytes=0-0'], ['If-Match', '*'], ['Upgrade-Insecure-Requests', '1']
])
const CONNECTION_VALUES: readonly string[] = Object.freeze([
  'keep-alive', 'Keep-Alive', 'KEEP-ALIVE', '', ',', ' , keep-alive ,', 'host', 'Content-Length', 'content-type', 'transfer-encoding',
  'X-Savoryknot-Attempt-Id', 'x-savoryknot-attempt-id, host', 'savoryknot-call', 'X-Savoryknot-Caller-Service', 'x-savoryknot-deadline-ms',
  'x-savoryknot-expect-instance', 'x-named', 'X-NAMED,\tx-empty', 'cookie', 'te, trailer'
])
/** Fields with a single value (RFC 9110, section 5.3): a request that repeats them is not legal. */
const SINGLE_VALUE_NAMES: ReadonlySet<string> = new Set(['content-type', 'user-agent'])
/** Fields that the mesh sets itself, or that frame the body on one connection. */
const OWN_NAMES: ReadonlySet<string> = new Set([
  'x-savoryknot-deadline-ms', 'x-savoryknot-expect-instance', 'x-savoryknot-caller-service', 'content-length'
])
/** Fields that each request to an endpoint has, whatever `Connection` names. */
const REQUIRED_NAMES: ReadonlySet<string> = new Set(['host', 'x-savoryknot-attempt-id'])
const HOST = 'Mesh.Example:80'
const TIMEOUT_MS = 5_000
const LONG_BODY_BYTES = 80_000
const USUAL_CHUNK_BYTES = 9_000
const MAXIMUM_RANDOM_BODY_BYTES = 3_000
/** Cookies are joined by semicolons, other fields by commas (RFC 9110, section 5.3; RFC 6265, section 5.4). */
const COOKIE = 'cookie'

/** A GET request without body, with these differences. */
export function oddRequest (differences: Partial<IOddRequest>): IOddRequest {
  return {
    method: 'GET',
    target: '/',
    fields: [],
    body: Buffer.alloc(0),
    framing: 'none',
    chunkBytes: [7],
    chunkExtension: '',
    trailers: [],
    timeout: TIMEOUT_MS,
    ...differences
  }
}

/** Any odd request. */
export function oddRequests (): Arbitrary<IOddRequest> {
  const fields = fastCheck.array(fastCheck.oneof(
    fastCheck.constantFrom(...END_TO_END_FIELDS, ...MESH_FIELD_FORGERIES, ...HOP_BY_HOP_FIELDS),
    fastCheck.constantFrom(...CONNECTION_VALUES).map((value) => [oddCase('connection', value.length), value] as const),
    fastCheck.tuple(fieldNames(), fieldValues())
  ), { maxLength: 24 }).map(withoutIllegalRepeats)
  const chunkSizes = fastCheck.oneof(fastCheck.constant(1), fastCheck.integer({ min: 1, max: 70_000 }))
  const shape = fastCheck.record({
    method: fastCheck.oneof(fastCheck.constantFrom('GET', 'POST', 'PUT', 'HEAD', 'DELETE'), fastCheck.constantFrom(...METHODS)),
    target: fastCheck.oneof(fastCheck.constantFrom(...TARGETS), targets()),
    fields,
    body: bodies(),
    framing: fastCheck.constantFrom('none' as const, 'length' as const, 'chunked' as const),
    chunkBytes: fastCheck.array(chunkSizes, { maxLength: 4 }).map((sizes) => [...sizes, USUAL_CHUNK_BYTES]),
    chunkExtension: fastCheck.constantFrom('', ';a', ';a=b', ';a="q;r"', ';x-savoryknot-caller-service=forged'),
    trailers: fastCheck.array(fastCheck.constantFrom(...MESH_FIELD_FORGERIES, ['X-Late', 'l'] as const), { maxLength: 3 }),
    timeout: fastCheck.constant(TIMEOUT_MS)
  })
  return shape.map((request) => request.framing === 'none' ? { ...request, body: Buffer.alloc(0) } : request)
}

/** The bytes of a request with this id. */
export function bytesOf (request: IOddRequest, id: string): Buffer {
  const framing: FieldList = request.framing === 'none'
    ? []
    : [request.framing === 'length' ? ['Content-LENGTH', String(request.body.byteLength)] : ['Transfer-ENCODING', 'Chunked']]
  const fields = [...sentFields(request, id), ['X-Savoryknot-Deadline-Ms', String(request.timeout)] as const, ...framing]
  const head = `${request.method} ${request.target} HTTP/1.1\r\n${fieldLines(fields)}\r\n`
  return Buffer.concat([Buffer.from(head, 'latin1'), request.framing === 'chunked' ? chunksOf(request) : request.body])
}

/** Splits bytes at these positions, each a share of the whole length in thousandths. */
export function splitBytes (bytes: Buffer, shares: readonly number[]): Buffer[] {
  const cuts = [...new Set(shares.map((share) => Math.floor(bytes.byteLength * share / 1_000)))].sort((left, right) => left - right)
  return [0, ...cuts].map((start, index) => bytes.subarray(start, cuts[index] ?? bytes.byteLength)).filter((part) => part.byteLength > 0)
}

/** What an endpoint must receive of a request with this id from a caller of this service; comparable with `comparable`. */
export function expectedAtEndpoint (request: IOddRequest, id: string, callerService: string): object {
  const sent = sentFields(request, id)
  const named = new Set(sent.filter(([name]) => name.toLowerCase() === 'connection').flatMap(([, value]) => value.toLowerCase().split(',').map(trim)))
  const forwarded = sent.filter(([name]) => {
    const lowerName = name.toLowerCase()
    if (REQUIRED_NAMES.has(lowerName)) return true
    return !HOP_BY_HOP_NAMES.has(lowerName) && !OWN_NAMES.has(lowerName) && !lowerName.startsWith('savoryknot-') && !named.has(lowerName)
  })
  return {
    method: request.method,
    target: request.target,
    body: digestOf(request.body),
    fields: joinedFields([...forwarded, ['x-savoryknot-caller-service', callerService]])
  }
}

/** A received request without what concerns only its connection or depends on the time or the endpoint. */
export function comparable ({ method, target, fields, body }: IReceivedRequest): object {
  const ignored = new Set(['connection', 'content-length', 'x-savoryknot-deadline-ms', 'x-savoryknot-expect-instance'])
  return { method, target, body: digestOf(body), fields: joinedFields(fields.filter(([name]) => !ignored.has(name.toLowerCase()))) }
}

function digestOf (bytes: Buffer): string {
  return `${bytes.byteLength} bytes, SHA-256 ${createHash('sha256').update(bytes).digest('hex')}`
}

/** Number of fields with this name, in any case. */
export function countFields ({ fields }: IReceivedRequest, wanted: string): number {
  return fields.filter(([name]) => name.toLowerCase() === wanted).length
}

function withoutIllegalRepeats (fields: FieldList): FieldList {
  const first = new Map(fields.map(([name], index) => [name.toLowerCase(), index] as const).reverse())
  return fields.filter(([name], index) => !SINGLE_VALUE_NAMES.has(name.toLowerCase()) || first.get(name.toLowerCase()) === index)
}

function sentFields ({ fields }: IOddRequest, id: string): FieldList {
  return [['hOST', HOST], ...fields, ['X-SAVORYKNOT-Attempt-id', id]]
}

function fieldLines (fields: FieldList): string {
  return fields.map(([name, value]) => `${name}:${value === '' ? '' : ` ${value}`}\r\n`).join('')
}

function chunksOf ({ body, chunkBytes, chunkExtension, trailers }: IOddRequest): Buffer {
  const parts: Buffer[] = []
  for (let start = 0, index = 0; start < body.byteLength; index++) {
    const chunk = body.subarray(start, start + (chunkBytes[index % chunkBytes.length] ?? 1))
    parts.push(Buffer.from(`${chunk.byteLength.toString(16)}${chunkExtension}\r\n`), chunk, Buffer.from('\r\n'))
    start += chunk.byteLength
  }
  return Buffer.concat([...parts, Buffer.from(`0${chunkExtension}\r\n${fieldLines(trailers)}\r\n`, 'latin1')])
}

/** Values by lower-case name, those of repeated fields joined in their order; sorted by name. */
function joinedFields (fields: FieldList): ReadonlyArray<readonly [string, string]> {
  const joined = new Map<string, string>()
  for (const [name, value] of fields) {
    const lowerName = name.toLowerCase()
    const before = joined.get(lowerName)
    joined.set(lowerName, before === undefined ? value : `${before}${lowerName === COOKIE ? '; ' : ', '}${value}`)
  }
  // Spaces at the end of a value are no part of it.
  return [...joined].map(([name, value]) => [name, trim(value)] as const).sort(([left], [right]) => left < right ? -1 : 1)
}

/** Fields that must not be repeated have fixed names, so random names never equal them. */
function fieldNames (): Arbitrary<string> {
  return fastCheck.string({ unit: fastCheck.constantFrom(...'!#$%&\'*+-.^_`|~09azAZ'), maxLength: 30 }).map((text) => `x-${text}`)
}

function fieldValues (): Arbitrary<string> {
  const unit = fastCheck.integer({ min: 0x20, max: 0xff }).filter((code) => code !== 0x7f).map((code) => String.fromCharCode(code))
  return fastCheck.string({ unit, maxLength: 200 }).map(trim)
}

function targets (): Arbitrary<string> {
  const unit = fastCheck.oneof(fastCheck.constantFrom(...'/.%?;&=2eE0'), fastCheck.integer({ min: 0x21, max: 0x7e }).map((code) => String.fromCharCode(code)))
  return fastCheck.string({ unit, maxLength: 60 }).map((text) => `/${text.replaceAll('#', '')}`)
}

function bodies (): Arbitrary<Buffer> {
  const smuggled = 'GET /smuggled HTTP/1.1\r\nHost: mesh.example\r\nX-Savoryknot-Attempt-Id: smuggled\r\n\r\n'
  return fastCheck.oneof(
    fastCheck.constantFrom(Buffer.alloc(0), Buffer.from('x'), Buffer.from('\0'), Buffer.from(smuggled), Buffer.from(`0\r\n\r\n${smuggled}`)),
    fastCheck.uint8Array({ maxLength: MAXIMUM_RANDOM_BODY_BYTES }).map((bytes) => Buffer.from(bytes)),
    fastCheck.integer({ min: 0, max: 255 }).map(longBody)
  )
}

function longBody (start: number): Buffer {
  return Buffer.from(Array.from({ length: LONG_BODY_BYTES }, (_, index) => (start + index * 7) % 251))
}

function oddCase (name: string, seed: number): string {
  return [...name].map((letter, index) => (index + seed) % 3 === 0 ? letter.toUpperCase() : letter).join('')
}

/** Without the spaces and tabs at both ends. */
function trim (text: string): string {
  return text.replace(/^[ \t]+|[ \t]+$/g, '')
}
