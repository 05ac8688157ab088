/** Writes a response to the HTTP connection of a caller or of another node. */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http'
import { toDisposable } from '../common/Disposable.js'
import type { IEvent } from '../common/Types.js'
import { contentLength, fieldsOf, isHopByHop, namesInConnection } from './HeaderRules.js'
import type { IAnswerSink } from './Types.js'

/** Options of `HttpResponseSink`. */
export interface IHttpResponseSinkOptions {
  readonly response: ServerResponse
  /**
   * Header fields written before those of the response, as alternating names and values; evaluated when the head is written.
   * They replace fields of the same name.
   */
  readonly additionalHeaders?: () => readonly string[]
}

/** Bodies up to this size are written together with the head: one string is written faster than two chunks. */
const MAXIMUM_JOINED_BODY_BYTES = 2_048

const NO_HEADERS: readonly string[] = Object.freeze([])

/** Forwards a response without copying it. A truncated response never looks complete to the receiver: its connection is closed. */
export class HttpResponseSink implements IAnswerSink {
  private readonly _response: ServerResponse
  private readonly _additionalHeaders: (() => readonly string[]) | undefined
  private _expectedBytes: number | undefined
  private _writtenBytes = 0
  private _hasBegun = false
  private _isAborted = false
  private _isEnded = false

  constructor (options: IHttpResponseSinkOptions) {
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

  /** True if the connection was closed here before the response was complete. */
  public get isTruncated (): boolean {
    return this._isAborted
  }

  public begin (status: number, headers: IncomingHttpHeaders): void {
    this._hasBegun = true
    if (hasBody(this._response, status)) this._expectedBytes = contentLength(headers)
    if (this._isClosed) return
    const additional = this._additionalHeaders?.() ?? NO_HEADERS
    this._response.writeHead(status, toFieldList(headers, additional))
  }

  public write (chunk: Uint8Array): boolean {
    this._writtenBytes += chunk.byteLength
    if (this._expectedBytes !== undefined && this._writtenBytes > this._expectedBytes) this.abort()
    if (this._isClosed) return true
    if (this._writtenBytes === this._expectedBytes) return this._endWithChunk(chunk)
    return this._response.write(chunk)
  }

  public end (): void {
    if (this._expectedBytes !== undefined && this._writtenBytes !== this._expectedBytes) this.abort()
    if (this._isClosed || this._isEnded) return
    this._isEnded = true
    this._response.end()
  }

  public abort (): void {
    if (this._isEnded) return
    this._isAborted = true
    this._response.destroy()
  }

  /** Writes the last bytes of a body of known length; a short body is sent together with the head. */
  private _endWithChunk (chunk: Uint8Array): boolean {
    this._isEnded = true
    if (chunk.byteLength > MAXIMUM_JOINED_BODY_BYTES) this._response.end(chunk)
    else this._response.end(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength).toString('latin1'), 'latin1')
    return true
  }

  private get _isClosed (): boolean {
    return this._isAborted || this._response.destroyed
  }
}

/** Returns whether a response to this request with this status has a body. */
function hasBody (response: ServerResponse, status: number): boolean {
  return response.req.method !== 'HEAD' && status !== 204 && status !== 304
}

/** Alternating names and values without hop-by-hop fields. Fields of `additional` come first and replace others of the same name. */
function toFieldList (headers: IncomingHttpHeaders, additional: readonly string[]): string[] {
  const listed = namesInConnection(headers.connection)
  const isKept = (name: string): boolean => !isHopByHop(name) && listed?.has(name) !== true && !hasField(additional, name)
  return [...additional, ...fieldsOf(headers, isKept)]
}

/** Returns whether `fields` (alternating names and values) contains a field called `name`. */
function hasField (fields: readonly string[], name: string): boolean {
  for (let index = 0; index < fields.length; index += 2) {
    if (fields[index] === name) return true
  }
  return false
}
