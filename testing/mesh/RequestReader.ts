/** Strict parser of the requests of one connection. Accepts only what no two parsers could read differently. */

/** Head of a received request. */
export interface IReceivedHead {
  readonly method: string
  readonly target: string
  /** Names and values as received, each byte as one character. */
  readonly fields: ReadonlyArray<readonly [name: string, value: string]>
  /** Size of the body in bytes. */
  readonly bodyBytes: number
}

/** A received request. */
export interface IReceivedRequest extends IReceivedHead {
  readonly body: Buffer
}

const HEAD_END = '\r\n\r\n'
const REQUEST_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+) (\/[\x21-\x7e]*) HTTP\/1\.1$/
const FIELD_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+): ?([\t\x20-\x7e\x80-\xff]*)$/
const LENGTH = /^\d{1,15}$/

/** Reads the head of each request before its body, so that a test can respond between the two. */
export class RequestReader {
  private _chunks: Buffer[] = []
  private _byteLength = 0
  private _head: IReceivedHead | undefined

  /** True if no byte of an incomplete request is pending. */
  public get isAtStart (): boolean {
    return this._head === undefined && this._byteLength === 0
  }

  public append (chunk: Buffer): void {
    this._chunks.push(chunk)
    this._byteLength += chunk.byteLength
  }

  /** The head of the next request, as soon as it is complete. Throws if the bytes are not a request. */
  public readHead (): IReceivedHead | undefined {
    if (this._head !== undefined) return this._head
    const bytes = this._join()
    const end = bytes.indexOf(HEAD_END)
    if (end < 0) return undefined
    this._head = parseHead(bytes.toString('latin1', 0, end))
    this._replace(bytes.subarray(end + HEAD_END.length))
    return this._head
  }

  /** The request whose head was read, as soon as its body is complete. */
  public readRequest (): IReceivedRequest | undefined {
    const head = this._head
    if (head === undefined || this._byteLength < head.bodyBytes) return undefined
    const bytes = this._join()
    this._head = undefined
    this._replace(bytes.subarray(head.bodyBytes))
    return { ...head, body: bytes.subarray(0, head.bodyBytes) }
  }

  private _join (): Buffer {
    const joined = this._chunks.length === 1 && this._chunks[0] !== undefined ? this._chunks[0] : Buffer.concat(this._chunks)
    this._chunks = [joined]
    return joined
  }

  private _replace (rest: Buffer): void {
    this._chunks = rest.byteLength === 0 ? [] : [rest]
    this._byteLength = rest.byteLength
  }
}

function parseHead (text: string): IReceivedHead {
  const [requestLine = '', ...lines] = text.split('\r\n')
  const [, method, target] = REQUEST_LINE.exec(requestLine) ?? []
  if (method === undefined || target === undefined) throw new Error(`not a request line: ${JSON.stringify(requestLine.slice(0, 200))}`)
  const fields = lines.map(parseField)
  return { method, target, fields, bodyBytes: bodyBytesOf(fields) }
}

function parseField (line: string): readonly [string, string] {
  const [, name, value] = FIELD_LINE.exec(line) ?? []
  if (name === undefined || value === undefined) throw new Error(`not a field: ${JSON.stringify(line.slice(0, 200))}`)
  return [name, value]
}

/** Nodes send each body with a length; another framing would be a change to be looked at, so it is a fault. */
function bodyBytesOf (fields: IReceivedHead['fields']): number {
  const valuesOf = (wanted: string): string[] => fields.filter(([name]) => name.toLowerCase() === wanted).map(([, value]) => value)
  const lengths = valuesOf('content-length')
  if (valuesOf('transfer-encoding').length > 0) throw new Error('transfer-encoding')
  if (lengths.length > 1 || !lengths.every((length) => LENGTH.test(length))) throw new Error(`content-length: ${lengths.join(' and ')}`)
  return Number(lengths[0] ?? 0)
}
