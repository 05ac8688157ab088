/** Each foreign heartbeat is refused for what it is, and the rows do not describe the endpoint of a VM. */
import { expect } from 'chai'
import { RandomService } from '../../src/common/RandomService.js'
import type { NodeName } from '../../src/mesh/Types.js'
import { decodeNodeRow } from '../../src/mesh/view/NodeRowCodec.js'
import { decodeHeartbeat } from '../../platform/ReportDecoder.js'
import { drawForeignHeartbeat, drawForeignRow, type IHeartbeatBody } from './ForeignMessages.js'

const DRAWS = 2_000
const SERVICES = ['status', 'fee']
const HEARTBEAT: IHeartbeatBody = {
  address: '127.0.0.1:8001',
  born: 1,
  nodeInfo: { service: 'status', version: 'v1', zone: 'z1', slots: 4 },
  status: { state: 'ready', sequence: 7, coldLeftMs: 0 }
}
const OPTIONS = { id: 'i-node-0.1', heartbeat: HEARTBEAT, services: SERVICES, otherAddresses: ['127.0.0.1:8002'] }

/** True if the heartbeat can be read and states the service and the address of the endpoint. */
function isOfEndpoint (id: string, body: Buffer): boolean {
  try {
    const { service, address } = decodeHeartbeat(id, new TextDecoder('utf-8', { fatal: true }).decode(body))
    return service === HEARTBEAT.nodeInfo.service && address === HEARTBEAT.address
  } catch {
    return false
  }
}

describe('Messages of another writer in the soak', () => {
  it('never contain a readable heartbeat of the endpoint, and have each fault with each id', () => {
    const random = new RandomService(1)
    const kinds = new Set<string>()
    for (let count = 0; count < DRAWS; count++) {
      const { fault, id, body } = drawForeignHeartbeat(OPTIONS, random)
      kinds.add(`${fault} ${id}`)
      expect(isOfEndpoint(id, body), `${fault}: ${body.toString()}`).to.equal(false)
    }
    expect(kinds.size).to.equal(14)
  })

  it('contain no row with an endpoint of a service of the configuration', () => {
    const random = new RandomService(2)
    const row = JSON.stringify({ node: 'n', failureDomain: 'z1', region: 'r1', gateAddress: '10.0.0.1:1', peerAddress: '10.0.0.1:2', isLeaving: false })
    const services = Array.from({ length: DRAWS }, () => {
      try {
        return decodeNodeRow(drawForeignRow(row, random), 'n' as NodeName).row.endpoint?.service
      } catch {
        return undefined
      }
    })
    expect(services.filter((service) => service !== undefined && SERVICES.includes(service))).to.deep.equal([])
    expect(services.filter((service) => service !== undefined).length).to.be.above(DRAWS / 2)
  })

  it('are the same for the same seed', () => {
    const bodies = [3, 3].map((seed) => {
      const random = new RandomService(seed)
      return Array.from({ length: 20 }, () => drawForeignHeartbeat(OPTIONS, random).body.toString('hex'))
    })
    expect(bodies[0]).to.deep.equal(bodies[1])
  })
})
