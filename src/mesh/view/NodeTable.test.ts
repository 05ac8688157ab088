/** Rows that arrive out of order, cannot be decoded, or reuse the address of another node. */
import { expect } from 'chai'
import type { RowKey, StorePosition } from '../../platform/Types.js'
import { batch, nodeOf, NOW, row } from '../../../testing/mesh/NodeRows.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
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
