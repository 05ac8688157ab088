/** One call that has been matched to a route. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Readable } from 'node:stream'
import type { DocumentVersion, IdempotencyKey, IEvent, RequestId, ResourceName, RouteName, ServiceName, Timestamp } from '../common/Types.js'
import type { IActiveDocument, IPoolResource, IRetryResource, IRoute, ILimitResource, IServiceDocument, RouteIdempotency, RequestClass } from '../documents/Types.js'
import type { ICall } from '../gate/Types.js'
import type { IInboundRequest } from './Services.js'

/** A route with the resources that it references, all from one snapshot. */
export interface IResolvedRoute {
  readonly active: IActiveDocument
  readonly document: IServiceDocument
  readonly route: IRoute
  readonly pool: IPoolResource
  readonly retry: IRetryResource | undefined
  readonly limit: ILimitResource | undefined
}

/** A call as gates accept it; `bodyContent` is set after a small body has been read. */
export class RoutedCall implements ICall {
  public readonly service: ServiceName
  public readonly route: RouteName
  public readonly version: DocumentVersion
  public readonly targetService: ServiceName
  public readonly targetResource: ResourceName
  public readonly method: string
  public readonly path: string
  public readonly bodyBytes: number | undefined
  public readonly class: RequestClass
  public readonly repeat: RouteIdempotency
  public readonly onCancelled: IEvent<void>
  public body: Readable | undefined
  public bodyContent: Buffer | undefined

  constructor (
    private readonly _request: IInboundRequest,
    resolved: IResolvedRoute,
    public readonly requestId: RequestId,
    public readonly headers: IncomingHttpHeaders,
    public readonly deadlineAt: Timestamp,
    public readonly depth: number,
    public readonly idempotencyKey: IdempotencyKey | undefined
  ) {
    const { active, route } = resolved
    this.service = active.service
    this.route = route.name
    this.version = active.version
    this.targetService = route.target.service
    this.targetResource = route.target.resource
    this.class = route.class
    this.repeat = route.repeat
    this.method = _request.method
    this.path = _request.path
    this.body = _request.body
    this.bodyBytes = _request.bodyBytes
    this.onCancelled = _request.onCancelled
  }

  public get isCancelled (): boolean {
    return this._request.isCancelled
  }
}
