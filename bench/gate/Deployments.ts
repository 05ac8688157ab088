/** Parameters of the two deployments that the gate benchmarks use. */
import type { Milliseconds } from '../../src/common/Types.js'
import type { IPoolResource } from '../../src/documents/Types.js'
import type { IUpstreamStandInOptions } from '../../testing/upstream/UpstreamStandIn.js'

/** One service of a deployment. */
export interface IDeployment {
  readonly name: string
  readonly service: string
  readonly endpoints: number
  readonly upstream: Partial<IUpstreamStandInOptions>
  readonly pool: Partial<IPoolResource>
}

/** Time for which a request occupies a slot. */
export const SERVICE_TIME_MS = 100

/** Slots, connections, connection costs and probe costs are those of the specified deployments. */
export const DEPLOYMENTS: readonly IDeployment[] = Object.freeze([
  {
    name: 'tsagaan',
    service: 'status',
    endpoints: 6,
    upstream: { slots: 9, serviceTimeMs: SERVICE_TIME_MS, connectionCostMs: 1 },
    pool: { slots: 9, connections: 110, queue: 18, queueTimeout: 200 as Milliseconds, healthInterval: 2_000 as Milliseconds }
  },
  {
    name: 'lakeshore',
    service: 'gallery',
    endpoints: 6,
    upstream: { slots: 6, serviceTimeMs: SERVICE_TIME_MS, connectionCostMs: 1, probeCostMs: 6 },
    pool: { slots: 6, connections: 120, queue: 12, queueTimeout: 200 as Milliseconds, healthInterval: 2_000 as Milliseconds }
  }
])

/** Number of requests per second that all endpoints of a deployment can serve. */
export function capacityOf (deployment: IDeployment): number {
  return deployment.endpoints * (deployment.upstream.slots ?? 0) * 1_000 / SERVICE_TIME_MS
}
