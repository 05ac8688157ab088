/** Records of a whole fleet that is not there, held by one failure domain that nobody judges. */
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

/** The crowd's nodes link to nobody of their failure domain, so they suspect none of the records. */
const CROWD_OVERLAY = Object.freeze({ ringLinks: 0, spreadLinks: 0 })

const GATEWAYS = 2

/** Two real nodes that are the gateways of a failure domain of thousands of records. */
export class Crowd {
  private readonly _records: INodeRecord[] = []

  private constructor (private readonly _fleet: Fleet, private readonly _nodes: readonly FleetNode[]) {}

  /** Starts the two nodes in the given failure domain. */
  public static async start (fleet: Fleet, domain: number, overlay: Partial<IOverlaySettings>): Promise<Crowd> {
    const controlPlane = { overlay: { ...overlay, ...CROWD_OVERLAY } }
    const nodes = [await fleet.addTo(domain, undefined, controlPlane), await fleet.addTo(domain, undefined, controlPlane)]
    return new Crowd(fleet, nodes)
  }

  /** Adds records, each of a node with one endpoint of one of the services. */
  public addRecords (count: number, services: number): void {
    const gateways = this._nodes.map((node) => node.get(IMembershipService).self.id)
    const { failureDomain, region } = (this._nodes[0] as FleetNode).options
    const rank = new Rendezvous('gateway')
    for (let number = 0; this._records.length < count; number++) {
      const id = createHash('sha256').update(`crowd-${number}`).digest('hex').slice(0, 24) as NodeId
      // The two real nodes stay the gateways.
      if (rank.top([...gateways, id], GATEWAYS).includes(id)) continue
      const base = createRecord(this._records.length, 0)
      const service = `service-${this._records.length % services}` as ServiceName
      const endpoints = base.endpoints.map((endpoint) => ({ ...endpoint, id: `${service}-${number}` as EndpointId, service, since: 1_764_800_000_000 as Timestamp }))
      this._records.push({ ...base, id, failureDomain, region, endpoints })
    }
    this._merge(this._records)
  }

  /** Changes records of the crowd, drawn at random, as restarts and drains do. */
  public change (count: number): void {
    for (let changed = 0; changed < count; changed++) {
      const position = this._fleet.random.integer(this._records.length)
      const record = this._records[position] as INodeRecord
      this._records[position] = { ...record, sequence: record.sequence + 1 }
      this._merge([this._records[position] as INodeRecord])
    }
  }

  private _merge (records: readonly INodeRecord[]): void {
    const membership = (this._nodes[0] as FleetNode).get(IMembershipService) as MembershipService
    membership.merge(records, this._fleet.clock.now())
  }
}
