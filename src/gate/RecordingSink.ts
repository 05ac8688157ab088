/** Copies a response while it is forwarded. */
import type { IncomingHttpHeaders } from 'node:http'
import { ByteCollector } from '../common/ByteCollector.js'
import type { IEvent } from '../common/Types.js'
import type { IAnswerSink } from './Types.js'

/** A copied response. */
export interface ICapturedResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  /** Undefined if the body was larger than the limit. */
  readonly body: Buffer | undefined
}

/** Forwards a response to another sink and copies it; the body is copied if it has at most `limit` bytes. */
export class RecordingSink implements IAnswerSink {
  private _status = 0
  private _headers: IncomingHttpHeaders = {}
  private readonly _copy = new ByteCollector()
  private _size = 0

  constructor (private readonly _sink: IAnswerSink, private readonly _limit: number) {}

  public get onDrained (): IEvent<void> {
    return this._sink.onDrained
  }

  public get hasBegun (): boolean {
    return this._sink.hasBegun
  }

  /** The copy; valid once the response is complete. */
  public get response (): ICapturedResponse {
    const body = this._size > this._limit ? undefined : this._copy.content()
    return { status: this._status, headers: this._headers, body }
  }

  public begin (status: number, headers: IncomingHttpHeaders): void {
    this._status = status
    this._headers = headers
    this._sink.begin(status, headers)
  }

  public write (chunk: Uint8Array): boolean {
    this._size += chunk.byteLength
    if (this._size <= this._limit) this._copy.append(chunk)
    else this._copy.clear()
    return this._sink.write(chunk)
  }

  public end (): void {
    this._sink.end()
  }

  public abort (): void {
    this._sink.abort()
  }
}
