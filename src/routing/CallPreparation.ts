/** Converts a request into a call: route, resources, deadline and limits, all from one snapshot. */
import type { IInvariantService } from '../common/Services.js'
import { createRequestId } from '../common/Ids.js'
import type { IdempotencyKey, Timestamp } from '../common/Types.js'
import type { ILimitResource, IPoolResource, IResourceReference, IRetryResource, ISnapshot, Resource } from '../documents/Types.js'
import { HEADER, type CallOutcome, type NotRunReason } from '../gate/Types.js'
import { withoutInternalHeaders, singleHeader } from './ResponseHeaders.js'
import type { RateLimiter } from './RateLimiter.js'
import { RoutedCall, type IResolvedRoute } from './RoutedCall.js'
import { RouteTable } from './RouteTable.js'
import type { IInboundRequest } from './Services.js'

const STEP = 'router.prepare'
const NUMBER_PATTERN = /^\d{1,9}$/
/** Idempotency key: visible ASCII of bounded length. */
const KEY_PATTERN = /^[!-~]{1,255}$/

/** A refusal before any attempt. */
export type Refusal = Extract<CallOutcome, { kind: 'not-run' }>

/** Either a call that is ready for its first attempt, or a refusal. */
export type Preparation =
  | { readonly kind: 'ready', readonly call: RoutedCall, readonly resolved: IResolvedRoute }
  | { readonly kind: 'refused', readonly refusal: Refusal, readonly resolved: IResolvedRoute | undefined }

/** Matches requests to routes and checks their headers and limits. */
export class CallPreparation {
  constructor (private readonly _invariants: IInvariantService, private readonly _rateLimiter: RateLimiter) {}

  /** Converts `request` into a call or refuses it, using only the documents of `snapshot`. */
  public prepare (request: IInboundRequest, snapshot: ISnapshot, now: Timestamp): Preparation {
    const resolved = this._resolve(request, snapshot)
    if (typeof resolved === 'string') return refuse(resolved, undefined)
    const deadline = readNumber(request, HEADER.deadline)
    const depth = readNumber(request, HEADER.depth)
    const key = singleHeader(request.headers, HEADER.idempotencyKey)
    if (deadline === 'malformed' || depth === 'malformed') return refuse('malformed', resolved)
    const fault = this._checkLimits(request, resolved, key, now)
    if (fault !== undefined) return refuse(fault, resolved)
    const timeoutMs = Math.min(resolved.route.deadline, deadline ?? resolved.route.deadline)
    if (timeoutMs <= 0) return refuse('deadline', resolved)
    const call = new RoutedCall(
      request, resolved, createRequestId(), withoutInternalHeaders(request.headers),
      now + timeoutMs as Timestamp, depth ?? 0, key as IdempotencyKey | undefined
    )
    return { kind: 'ready', call, resolved }
  }

  private _resolve (request: IInboundRequest, snapshot: ISnapshot): IResolvedRoute | NotRunReason {
    const active = snapshot.documents.get(request.service)
    if (active?.document === undefined) return 'no-route'
    const match = RouteTable.of(active).match(request.method, request.path)
    if (match.kind !== 'matched') return match.kind
    const { route } = match
    const pool = this._findResource<IPoolResource>(snapshot, route.target, 'pool')
    const retry = this._findResource<IRetryResource>(snapshot, route.retry, 'retry')
    const limit = this._findResource<ILimitResource>(snapshot, route.limit, 'limit')
    if (pool === undefined || retry === 'missing' || limit === 'missing' || pool === 'missing') return 'no-route'
    return { active, document: active.document, route, pool, retry, limit }
  }

  /**
   * Returns the resource, or undefined without a reference. `missing` means that an invariant is violated, because documents
   * with unresolvable references are not accepted.
   */
  private _findResource<TResource extends Resource> (
    snapshot: ISnapshot, reference: IResourceReference | undefined, kind: TResource['kind']
  ): TResource | undefined | 'missing' {
    if (reference === undefined) return undefined
    const resource = snapshot.resource(reference)
    const isPresent = resource !== undefined && resource.kind === kind
    return this._invariants.check(isPresent, 'route-has-resource', STEP) ? resource as TResource : 'missing'
  }

  private _checkLimits (
    request: IInboundRequest, resolved: IResolvedRoute, key: string | undefined, now: Timestamp
  ): NotRunReason | undefined {
    const { limit, route } = resolved
    if (key !== undefined && !KEY_PATTERN.test(key)) return 'malformed'
    if (route.repeat === 'at-most-once' && key === undefined) return 'key-missing'
    if (limit === undefined) return undefined
    if ((request.bodyBytes ?? 0) > limit.requestBytes) return 'too-large'
    return this._rateLimiter.admit(limit, now) ? undefined : 'rate-limited'
  }
}

function refuse (reason: NotRunReason, resolved: IResolvedRoute | undefined): Preparation {
  return { kind: 'refused', refusal: { kind: 'not-run', reason, step: STEP }, resolved }
}

function readNumber (request: IInboundRequest, name: string): number | undefined | 'malformed' {
  const text = request.headers[name]
  if (text === undefined) return undefined
  return typeof text === 'string' && NUMBER_PATTERN.test(text) ? Number(text) : 'malformed'
}
