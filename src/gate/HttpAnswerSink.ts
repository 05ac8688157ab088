/** Writes an answer to the HTTP connection of a caller or of another node. */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http'
import { toDisposable } from '../common/Disposable.js'
import type { IEvent } from '../common/Types.js'
import { contentLength, fieldsOf, isHopByHop, namesInConnection } from './HeaderRules.js'
import type { IAnswerSink } from './Types.js'

/** What an answer sink needs. */
export interface IHttpAnswerSinkOptions {
  readonly response: ServerResponse
  /** Fields put before those of the answer when its head is written: names and values in turn. They replace fields of the same name. */
  readonly additionalHeaders?: () => readonly string[]
}

/** Bodies up to this size are joined with the head: one string is written faster than two pieces. */
const SHORT_BODY_BYTES = 2_048

const NO_HEADERS: readonly string[] = Object.freeze([])

/** Passes an answer on without copying it; a part of an answer never looks whole. */
export class HttpAnswerSink implements IAnswerSink {
  private readonly _response: ServerResponse
  private readonly _additionalHeaders: (() => readonly string[]) | undefined
  private _expectedBytes: number | undefined
  private _writtenBytes = 0
  private _hasBegun = false
  private _isAborted = false
  private _isEnded = false

  constructor (options: IHttpAnswerSinkOptions) {
    this._response = options.response
    this._additionalHeaders = options.additionalHeaders
  }

  public readonly onDrained: IEvent<void> = (listener) => {
    const notify = (): void => listener()
    this._response.on('drain', notify)
    return toDisposable(() => this._response.off('drain', notify))
  }

  public get hasBegun (): boolean {
    return this._hasBegun
  }

  /** True if the connection was broken before the answer was whole. */
  public get isTruncated (): boolean {
    return this._isAborted
  }

  public begin (status: number, headers: IncomingHttpHeaders): void {
    this._hasBegun = true
    if (hasBody(this._response, status)) this._expectedBytes = contentLength(headers)
    if (this._isGone) return
    const additional = this._additionalHeaders?.() ?? NO_HEADERS
    this._response.writeHead(status, flatten(headers, additional))
  }

  public write (chunk: Uint8Array): boolean {
    this._writtenBytes += chunk.byteLength
    if (this._expectedBytes !== undefined && this._writtenBytes > this._expectedBytes) this.abort()
    if (this._isGone) return true
    if (this._writtenBytes === this._expectedBytes) return this._endWith(chunk)
    return this._response.write(chunk)
  }

  public end (): void {
    if (this._expectedBytes !== undefined && this._writtenBytes !== this._expectedBytes) this.abort()
    if (this._isGone || this._isEnded) return
    this._isEnded = true
    this._response.end()
  }

  public abort (): void {
    if (this._isEnded) return
    this._isAborted = true
    this._response.destroy()
  }

  /** Writes the last bytes of a body of known length; a short one goes out in one piece with the head. */
  private _endWith (chunk: Uint8Array): boolean {
    this._isEnded = true
    if (chunk.byteLength > SHORT_BODY_BYTES) this._response.end(chunk)
    else this._response.end(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength).toString('latin1'), 'latin1')
    return true
  }

  private get _isGone (): boolean {
    return this._isAborted || this._response.destroyed
  }
}

/** Tells whether an answer to this request, with this status, carries a body. */
function hasBody (response: ServerResponse, status: number): boolean {
  return response.req.method !== 'HEAD' && status !== 204 && status !== 304
}

/** Names and values in turn, without hop-by-hop fields; `additional` comes first and wins. */
function flatten (headers: IncomingHttpHeaders, additional: readonly string[]): string[] {
  const listed = namesInConnection(headers.connection)
  const isKept = (name: string): boolean => !isHopByHop(name) && listed?.has(name) !== true && !isNamed(additional, name)
  return [...additional, ...fieldsOf(headers, isKept)]
}

/** Tells whether `fields` has a field called `name`. */
function isNamed (fields: readonly string[], name: string): boolean {
  for (let index = 0; index < fields.length; index += 2) {
    if (fields[index] === name) return true
  }
  return false
}
