/** Creates records of members for tests. */
import { createHash } from 'node:crypto'
import type { EndpointId, FailureDomain, NetworkAddress, NodeId, Region, ServiceName, Timestamp } from '../../src/common/Types.js'
import type { INodeRecord } from '../../src/membership/Types.js'

/** Member `number` of failure domain `domain-<domain>`, two failure domains to a region, with one serving endpoint. */
export function createRecord (number: number, domain: number, change: Partial<INodeRecord> = {}): INodeRecord {
  const address = `10.${domain}.${Math.floor(number / 250)}.${1 + number % 250}` as NetworkAddress
  return {
    id: createHash('sha256').update(`node-${number}`).digest('hex').slice(0, 24) as NodeId,
    failureDomain: `domain-${domain}` as FailureDomain,
    region: `region-${Math.floor(domain / 2)}` as Region,
    peerAddress: `${address}:7000` as NetworkAddress,
    gateAddress: `${address}:8000` as NetworkAddress,
    incarnation: 0,
    sequence: 0,
    state: 'alive',
    endpoints: [{ id: `${address}/0` as EndpointId, service: 'status' as ServiceName, state: 'serving', slots: 9, since: 0 as Timestamp }],
    software: '0.1.0',
    ...change
  }
}
