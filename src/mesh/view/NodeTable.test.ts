/** Rows that arrive out of order, cannot be decoded, or reuse the address of another node. */
import { expect } from 'chai'
import type { EndpointId, Milliseconds, NetworkAddress, ServiceName } from '../../common/Types.js'
import type { IChangedRow, RowKey, StorePosition } from '../../platform/Types.js'
import { batch, nodeOf, NOW, row } from '../../../testing/mesh/NodeRows.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import type { IEndpointRecord, NodeName } from '../Types.js'
import { encodeNodeRow } from './NodeRowCodec.js'
import { NodeTable } from './NodeTable.js'

describe('NodeTable', () => {
  it('keeps the later state of a row, in whatever order the states arrive', () => {
    const table = new NodeTable({ log: new RecordingLog() })
    table.apply(batch([row('a', 5), row('b', 6)], 6), NOW)
    table.apply(batch([{ key: 'a' as RowKey, position: 8 as StorePosition }], 8), NOW)
    table.apply(batch([row('a', 7)], 7), NOW)
    expect([[...table.nodes.keys()], table.position]).to.deep.equal([['b'], 8])
  })

  it('drops a row that is missing from a read of the complete table, unless the row is newer than the read', () => {
    const table = new NodeTable({ log: new RecordingLog() })
    table.apply(batch([row('a', 5), row('b', 9)], 9), NOW)
    table.apply(batch([], 7, true), NOW)
    expect([...table.nodes.keys()]).to.deep.equal(['b'])
  })

  it('logs and ignores a row that cannot be decoded, and keeps the others', () => {
    const log = new RecordingLog()
    const table = new NodeTable({ log })
    table.apply(batch([row('a', 1, '{"node":1}'), row('b', 2, 'no JSON'), row('c', 3)], 3, true), NOW)
    expect([[...table.nodes.keys()], log.events.filter(({ name }) => name === 'node-row-ignored').length]).to.deep.equal([['c'], 2])
  })
})

describe('NodeTable with two nodes at one address', () => {
  it('returns only the node whose row was written last', () => {
    const table = new NodeTable({ log: new RecordingLog() })
    const gone = encodeNodeRow(nodeOf('gone', 'r1', false, '10.0.0.9:1'))
    const heir = encodeNodeRow(nodeOf('heir', 'r1', false, '10.0.0.9:1'))
    table.apply(batch([row('gone', 4, gone), row('heir', 9, heir), row('other', 5)], 9), NOW)
    expect([...table.nodes.keys()]).to.deep.equal(['heir', 'other'])
  })
})

const KNOWN = 'known' as ServiceName
const LATER = 'later' as ServiceName
const UNKNOWN = 'x765582' as ServiceName

/** Services of the configuration in force; undefined until one is known. */
class ServicesStandIn {
  public current: ReadonlySet<ServiceName> | undefined = new Set([KNOWN])
}

const ADDRESS = '10.0.0.9:1'

/** A row of a node whose endpoint runs `service`. */
function servingRow (name: string, position: number, service: ServiceName, address?: string): IChangedRow {
  const endpoint: IEndpointRecord = {
    id: `i-${name}` as EndpointId,
    bornAt: 5,
    service,
    address: '10.0.0.7:80' as NetworkAddress,
    slots: 4,
    phase: 'serving',
    warmUpLeft: 0 as Milliseconds
  }
  return row(name, position, encodeNodeRow({ ...nodeOf(name, 'r1', false, address), endpoint }))
}

describe('NodeTable with a row of another writer', () => {
  let services: ServicesStandIn
  let table: NodeTable

  beforeEach(() => {
    services = new ServicesStandIn()
    table = new NodeTable({ log: new RecordingLog(), services: () => services.current })
  })

  function endpointsOf (service: ServiceName): string[] {
    return table.endpoints(service).map(({ endpoint }) => endpoint.id)
  }

  // A row that names no endpoint to use hid the live node at its address until that node wrote its row again.
  it('does not hide the endpoint of a node whose address a row with an unknown service has', () => {
    table.apply(batch([servingRow('live', 4, KNOWN, ADDRESS), servingRow('odd', 5, UNKNOWN, ADDRESS)], 5), NOW)
    expect(endpointsOf(KNOWN)).to.deep.equal(['i-live'])
  })

  it('gives an address to the later row as soon as the configuration has its service', () => {
    table.apply(batch([servingRow('gone', 4, KNOWN, ADDRESS), servingRow('heir', 5, LATER, ADDRESS)], 5), NOW)
    expect(endpointsOf(KNOWN)).to.deep.equal(['i-gone'])
    services.current = new Set([KNOWN, LATER])
    expect([endpointsOf(KNOWN), endpointsOf(LATER)]).to.deep.equal([[], ['i-heir']])
  })

  it('gives an address to a later row without an endpoint, which a new node writes before its endpoint reports', () => {
    const heir = encodeNodeRow(nodeOf('heir', 'r1', false, ADDRESS))
    table.apply(batch([servingRow('gone', 4, KNOWN, ADDRESS), row('heir', 5, heir)], 5), NOW)
    expect(endpointsOf(KNOWN)).to.deep.equal([])
  })

  it('gives an address to the later row while no configuration is known', () => {
    services.current = undefined
    table.apply(batch([servingRow('gone', 4, KNOWN, ADDRESS), servingRow('heir', 5, LATER, ADDRESS)], 5), NOW)
    expect([endpointsOf(KNOWN), endpointsOf(LATER)]).to.deep.equal([[], ['i-heir']])
  })

  for (const [description, value] of Object.entries({ 'cannot be read': 'no JSON', 'has an unknown service': servingRow('live', 5, UNKNOWN).value })) {
    // A row under the name of a live node took its endpoint away until the node wrote its row again.
    it(`keeps the state of a node if a row under its name ${description}, until a usable row or the deletion of the row`, () => {
      const odd = row('live', 5, value)
      table.apply(batch([servingRow('live', 4, KNOWN)], 4), NOW)
      table.apply(batch([odd, row('live', 6, value)], 6), NOW)
      expect([endpointsOf(KNOWN), endpointsOf(UNKNOWN), table.nodeIn(odd)]).to.deep.equal([['i-live'], [], undefined])
      table.apply(batch([row('live', 7)], 7), NOW)
      expect([endpointsOf(KNOWN), table.nodes.size]).to.deep.equal([[], 1])
      table.apply(batch([servingRow('live', 8, KNOWN), row('live', 9, value)], 9), NOW)
      table.apply(batch([{ key: 'live' as RowKey, position: 10 as StorePosition }], 10), NOW)
      expect([endpointsOf(KNOWN), table.nodes.size, table.node('live' as NodeName)]).to.deep.equal([[], 0, undefined])
    })

    it(`keeps the address of a node if a row under the name of an ended node that had it ${description}`, () => {
      table.apply(batch([servingRow('live', 4, KNOWN, ADDRESS), servingRow('heir', 5, KNOWN, ADDRESS)], 5), NOW)
      table.apply(batch([row('live', 6, value)], 6), NOW)
      expect(endpointsOf(KNOWN)).to.deep.equal(['i-heir'])
    })
  }

  it('uses the latest row of a node whose service the configuration gets later, or that had no endpoint before', () => {
    const latest = servingRow('live', 5, LATER)
    table.apply(batch([servingRow('live', 4, KNOWN), latest], 5), NOW)
    services.current = new Set([KNOWN, LATER])
    expect([endpointsOf(KNOWN), endpointsOf(LATER), table.nodeIn(latest)?.endpoint?.service]).to.deep.equal([[], ['i-live'], LATER])
    const first = servingRow('new', 7, UNKNOWN)
    table.apply(batch([row('new', 6), first], 7), NOW)
    expect(table.nodeIn(first)?.endpoint?.service).to.equal(UNKNOWN)
  })
})
