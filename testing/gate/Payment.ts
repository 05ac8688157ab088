/** Calls with an idempotency key, for tests and benchmarks. */
import type { DocumentVersion, IdempotencyKey, RequestId, ResourceName, RouteName, ServiceName, Timestamp } from '../../src/common/Types.js'
import type { RouteIdempotency } from '../../src/documents/Types.js'
import type { ICall } from '../../src/gate/Types.js'

/** Options of `createPayment`. */
export interface IPaymentOptions {
  readonly key: string
  readonly body: string
  readonly requestId: string
  /** Milliseconds since the Unix epoch. */
  readonly deadlineAt: number
  readonly service?: string
  readonly route?: string
  readonly repeat?: RouteIdempotency
  readonly headers?: Record<string, string>
}

/** Creates a call of the at-most-once route `pay`, unless another route is given. */
export function createPayment (options: IPaymentOptions): ICall {
  const content = Buffer.from(options.body)
  const service = (options.service ?? 'fees') as ServiceName
  return {
    requestId: options.requestId as RequestId,
    service,
    route: (options.route ?? 'pay') as RouteName,
    version: 1 as DocumentVersion,
    targetService: service,
    targetResource: 'endpoints' as ResourceName,
    method: 'POST',
    path: '/pay/fee',
    headers: { 'idempotency-key': options.key, ...options.headers },
    body: undefined,
    bodyContent: content,
    bodyBytes: content.byteLength,
    deadlineAt: options.deadlineAt as Timestamp,
    class: 'critical',
    repeat: options.repeat ?? 'at-most-once',
    idempotencyKey: options.key as IdempotencyKey,
    depth: 0,
    onCancelled: () => ({ dispose: () => {} }),
    isCancelled: false
  }
}
