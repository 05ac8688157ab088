/** A request that a program makes through the embedded client. */
import type { IncomingHttpHeaders } from 'node:http'
import { Readable } from 'node:stream'
import { toDisposable } from '../common/Disposable.js'
import type { IEvent, ServiceName } from '../common/Types.js'
import { HEADER } from '../gate/Types.js'
import type { IInboundRequest } from './Services.js'

/** Description of one call by the program. */
export interface IMeshRequest {
  readonly service: string
  /** `GET` by default. */
  readonly method?: string
  /** Path with query. */
  readonly path: string
  /** Lower-case names. */
  readonly headers?: IncomingHttpHeaders
  readonly body?: Uint8Array | Readable
  /** Timeout in milliseconds; used if it is shorter than the deadline of the route. */
  readonly deadlineMs?: number
  /** Value of `savoryknot-depth` of the request on whose behalf the call is made; calls with one or more are not retried. */
  readonly depth?: number
  /** Cancels the call. */
  readonly signal?: AbortSignal
}

/** Adapts a program's request to the router. */
export class ClientRequest implements IInboundRequest {
  public readonly service: ServiceName
  public readonly method: string
  public readonly path: string
  public readonly headers: IncomingHttpHeaders
  public readonly body: Readable | undefined
  public readonly bodyBytes: number | undefined
  private readonly _signal: AbortSignal | undefined

  constructor (request: IMeshRequest) {
    this.service = request.service as ServiceName
    this.method = request.method ?? 'GET'
    this.path = request.path
    this.headers = { ...request.headers }
    if (request.deadlineMs !== undefined) this.headers[HEADER.deadline] = String(Math.max(0, Math.floor(request.deadlineMs)))
    if (request.depth !== undefined) this.headers[HEADER.depth] = String(request.depth)
    const { body } = request
    this.body = body instanceof Readable || body === undefined ? body : Readable.from([Buffer.from(body)], { objectMode: false })
    this.bodyBytes = body instanceof Readable ? undefined : body?.byteLength
    this._signal = request.signal
  }

  public get isCancelled (): boolean {
    return this._signal?.aborted === true
  }

  public readonly onCancelled: IEvent<void> = (listener) => {
    const notify = (): void => listener()
    if (this.isCancelled) notify()
    this._signal?.addEventListener('abort', notify)
    return toDisposable(() => this._signal?.removeEventListener('abort', notify))
  }
}
