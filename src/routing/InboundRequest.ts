/** Adapts a caller's HTTP request to the router. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Readable } from 'node:stream'
import type { IEvent, ServiceName } from '../common/Types.js'
import type { HttpInbound } from '../gate/HttpInbound.js'
import type { IInboundRequest } from './Services.js'

/** Combines the HTTP request with the service that it addresses. */
export class InboundRequest implements IInboundRequest {
  public readonly method: string
  public readonly path: string
  public readonly headers: IncomingHttpHeaders
  public readonly body: Readable | undefined
  public readonly bodyBytes: number | undefined
  public readonly onCancelled: IEvent<void>

  constructor (public readonly service: ServiceName, private readonly _inbound: HttpInbound) {
    this.method = _inbound.method
    this.path = _inbound.path
    this.headers = _inbound.headers
    this.body = _inbound.body
    this.bodyBytes = _inbound.bodyBytes
    this.onCancelled = _inbound.onCancelled
  }

  public get isCancelled (): boolean {
    return this._inbound.isCancelled
  }
}
