/** Active documents for tests and benchmarks of the gate. */
import { POOL } from '../RoutingFixtures.js'
import { Emitter } from '../../src/common/Emitter.js'
import type {
  ContentHash, DocumentVersion, Milliseconds, ResourceName, RouteName, ServiceName, TeamName
} from '../../src/common/Types.js'
import type { ISnapshotService } from '../../src/distribution/Services.js'
import type {
  IActiveDocument, ILimitResource, IPoolResource, IRetryResource, IRoute, IServiceDocument, ISnapshot, RouteIdempotency,
  RequestClass, Resource
} from '../../src/documents/Types.js'

/** Options of a fake document. */
export interface IFakeDocumentOptions {
  readonly service: string
  readonly pool: Partial<IPoolResource>
  readonly limit: Partial<ILimitResource>
  readonly retry: Partial<IRetryResource>
  readonly deadlineMs: number
  readonly drainGraceMs: number
}

const DEFAULT_POOL: IPoolResource = Object.freeze({ ...POOL, healthInterval: 50 as Milliseconds })

const DEFAULT_LIMIT: ILimitResource = Object.freeze({
  kind: 'limit', name: 'bodies' as ResourceName, isExported: false, requestBytes: 100_000, responseBytes: 200_000, rate: 0
})

const DEFAULT_RETRY: IRetryResource = Object.freeze({
  kind: 'retry',
  name: 'reads' as ResourceName,
  isExported: false,
  attempts: 3,
  budget: 10,
  backoff: 25 as Milliseconds,
  backoffLimit: 250 as Milliseconds
})

/** Names of the routes in every fake document. */
export const FAKE_ROUTES = Object.freeze({ read: 'read', poll: 'poll', file: 'file', pay: 'pay' })

/** A document with the routes `read` (critical), `poll` (background), `file` (non-idempotent) and `pay` (at-most-once). */
export function createFakeDocument (options: Partial<IFakeDocumentOptions> = {}): IServiceDocument {
  const service = (options.service ?? 'status') as ServiceName
  const pool: IPoolResource = { ...DEFAULT_POOL, ...options.pool }
  const limit: ILimitResource = { ...DEFAULT_LIMIT, ...options.limit }
  const retry: IRetryResource = { ...DEFAULT_RETRY, ...options.retry }
  const route = (name: string, repeat: RouteIdempotency, requestClass: RequestClass): IRoute => ({
    name: name as RouteName,
    method: '*',
    path: `/${name}/**`,
    target: { service, resource: pool.name },
    retry: repeat === 'idempotent' ? { service, resource: retry.name } : undefined,
    limit: { service, resource: limit.name },
    repeat,
    class: requestClass,
    deadline: (options.deadlineMs ?? 2_000) as Milliseconds
  })
  return {
    format: 1,
    service,
    owner: 'permits' as TeamName,
    objective: { availability: 99.9, latency: 250 as Milliseconds, window: 2_592_000_000 as Milliseconds },
    resources: [pool, limit, retry],
    routes: [
      route(FAKE_ROUTES.read, 'idempotent', 'critical'), route(FAKE_ROUTES.poll, 'idempotent', 'background'),
      route(FAKE_ROUTES.file, 'non-idempotent', 'normal'), route(FAKE_ROUTES.pay, 'at-most-once', 'normal')
    ],
    stop: { drainGrace: (options.drainGraceMs ?? 1_000) as Milliseconds }
  }
}

/** A snapshot service with the given documents; `replace` activates others. */
export class FakeSnapshots implements ISnapshotService {
  public readonly rejections = []
  private readonly _onReplaced = new Emitter<ISnapshot>()
  public readonly onReplaced = this._onReplaced.event
  private _current: ISnapshot

  constructor (documents: readonly IServiceDocument[]) {
    this._current = toSnapshot(documents)
  }

  public get current (): ISnapshot {
    return this._current
  }

  public applyNewer (): void {}

  public replace (documents: readonly IServiceDocument[]): void {
    this._current = toSnapshot(documents)
    this._onReplaced.fire(this._current)
  }
}

function toSnapshot (documents: readonly IServiceDocument[]): ISnapshot {
  const active = new Map<ServiceName, IActiveDocument>()
  for (const document of documents) {
    const { service } = document
    active.set(service, { service, version: 1 as DocumentVersion, hash: '' as ContentHash, isTombstone: false, document, text: '' })
  }
  return {
    documents: active,
    resource: ({ service, resource }): Resource | undefined => {
      return active.get(service)?.document?.resources.find(({ name }) => name === resource)
    }
  }
}
