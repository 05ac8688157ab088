/** Member records of a large fleet that is not actually running, published by the gateways of one failure domain. */
import { createHash } from 'node:crypto'
import { IMembershipService } from '../../src/membership/Services.js'
import { Rendezvous } from '../../src/membership/Rendezvous.js'
import { createRecord } from '../../testing/membership/Records.js'
import type { EndpointId, NodeId, ServiceName, Timestamp } from '../../src/common/Types.js'
import type { MembershipService } from '../../src/membership/MembershipService.js'
import type { IOverlaySettings } from '../../src/membership/Options.js'
import type { INodeRecord } from '../../src/membership/Types.js'
import type { Fleet } from '../../testing/fleet/Fleet.js'
import type { FleetNode } from '../../testing/fleet/FleetNode.js'

/** Without links within their failure domain, the gateways do not suspect the simulated members. */
const UNLINKED_OVERLAY = Object.freeze({ ringLinks: 0, spreadLinks: 0 })

const GATEWAY_COUNT = 2

/** Two running nodes that are the gateways of a failure domain with thousands of simulated records. */
export class SimulatedRecords {
  private readonly _records: INodeRecord[] = []

  private constructor (private readonly _fleet: Fleet, private readonly _gateways: readonly FleetNode[]) {}

  /** Starts the two gateways in the given failure domain. */
  public static async start (fleet: Fleet, domain: number, overlay: Partial<IOverlaySettings>): Promise<SimulatedRecords> {
    const controlPlane = { overlay: { ...overlay, ...UNLINKED_OVERLAY } }
    const nodes = [await fleet.addTo(domain, undefined, controlPlane), await fleet.addTo(domain, undefined, controlPlane)]
    return new SimulatedRecords(fleet, nodes)
  }

  /** Adds records of nodes; each node has one endpoint of one of the services. */
  public addRecords (count: number, services: number): void {
    const gatewayIds = this._gateways.map((node) => node.get(IMembershipService).self.id)
    const { failureDomain, region } = (this._gateways[0] as FleetNode).options
    const rank = new Rendezvous('gateway')
    for (let number = 0; this._records.length < count; number++) {
      const id = createHash('sha256').update(`crowd-${number}`).digest('hex').slice(0, 24) as NodeId
      // Skips ids with which a simulated node would replace one of the two running nodes as gateway.
      if (rank.top([...gatewayIds, id], GATEWAY_COUNT).includes(id)) continue
      const base = createRecord(this._records.length, 0)
      const service = `service-${this._records.length % services}` as ServiceName
      const endpoints = base.endpoints.map((endpoint) => ({ ...endpoint, id: `${service}-${number}` as EndpointId, service, since: 1_764_800_000_000 as Timestamp }))
      this._records.push({ ...base, id, failureDomain, region, endpoints })
    }
    this._merge(this._records)
  }

  /** Changes random simulated records, as restarts and drains do. */
  public change (count: number): void {
    for (let changed = 0; changed < count; changed++) {
      const position = this._fleet.random.integer(this._records.length)
      const record = this._records[position] as INodeRecord
      this._records[position] = { ...record, sequence: record.sequence + 1 }
      this._merge([this._records[position] as INodeRecord])
    }
  }

  private _merge (records: readonly INodeRecord[]): void {
    const membership = (this._gateways[0] as FleetNode).get(IMembershipService) as MembershipService
    membership.merge(records, this._fleet.clock.now())
  }
}
