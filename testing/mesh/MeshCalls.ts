/** Calls between nodes for tests. */
import type { EndpointId, RequestId, RouteName, ServiceName, Timestamp } from '../../src/common/Types.js'
import type { IMeshCall, Idempotency } from '../../src/mesh/Types.js'

/** A call whose latency objective expires in one second and whose deadline in five. */
export function meshCall (repeat: Idempotency, now: Timestamp, parts: Partial<IMeshCall> = {}): IMeshCall {
  return {
    requestId: 'r' as RequestId,
    callerRequestId: 'c',
    route: 'route' as RouteName,
    service: 's' as ServiceName,
    endpoint: 'e' as EndpointId,
    callerService: 'caller',
    repeat,
    rank: 0,
    objectiveAt: now + 1_000 as Timestamp,
    deadlineAt: now + 5_000 as Timestamp,
    method: 'GET',
    path: '/path-of-the-call',
    fields: ['host', 'mesh.example'],
    body: undefined,
    ...parts
  }
}
