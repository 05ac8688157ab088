/** Calls between nodes for tests. */
import type { EndpointId, RequestId, RouteName, ServiceName, Timestamp } from '../../src/common/Types.js'
import type { IMeshCall } from '../../src/mesh/Types.js'

const PATIENCE_MS = 5_000

/** A call of this id, for service `s` at endpoint `e` unless it is told otherwise. */
export function callOf (id: string, now: Timestamp, parts: Partial<IMeshCall> = {}): IMeshCall {
  return {
    requestId: id as RequestId,
    callerRequestId: id,
    route: 'route' as RouteName,
    service: 's' as ServiceName,
    endpoint: 'e' as EndpointId,
    callerService: 'caller',
    repeat: 'idempotent',
    rank: 0,
    objectiveAt: now + PATIENCE_MS as Timestamp,
    deadlineAt: now + PATIENCE_MS as Timestamp,
    method: 'GET',
    path: `/${id}`,
    fields: ['host', 'mesh.example'],
    body: undefined,
    ...parts
  }
}
