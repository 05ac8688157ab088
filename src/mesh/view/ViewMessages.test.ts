/** A node that follows another one must have the same rows of the node table as one that reads the store. */
import { expect } from 'chai'
import type { ReceivedViewUpdate } from '../../generated/savoryknot/ViewUpdate.js'
import type { RowKey, StorePosition } from '../../platform/Types.js'
import { batch, nodeOf, NOW, row } from '../../../testing/mesh/NodeRows.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { NodeTable } from './NodeTable.js'
import { decodeRows, encodeRows } from './ViewMessages.js'

const LONG_VALUE_CHARACTERS = 10_000

describe('ViewMessages', () => {
  /** Nodes in the table of a follower of a node with the table `source`. */
  function nodesOfFollower (source: NodeTable, follower: NodeTable): readonly string[] {
    const rows = encodeRows(source.changedAfter(follower.position))
    follower.apply(decodeRows({ rows, nodesPosition: source.position } as unknown as ReceivedViewUpdate), NOW)
    return [...follower.nodes.keys()]
  }

  // A row without content is one that cannot be read, but followers took it for the deletion of the row.
  it('transfers a row with an empty value, one that cannot be read, and a deletion', () => {
    const [source, follower] = [new NodeTable({ log: new RecordingLog() }), new NodeTable({ log: new RecordingLog() })]
    source.apply(batch([row('a', 1), row('b', 2), row('c', 3)], 3), NOW)
    expect(nodesOfFollower(source, follower)).to.deep.equal(['a', 'b', 'c'])
    source.apply(batch([row('a', 4, ''), row('b', 5, 'no JSON'), { key: 'c' as RowKey, position: 6 as StorePosition }], 6), NOW)
    expect([[...source.nodes.keys()], nodesOfFollower(source, follower)]).to.deep.equal([['a', 'b'], ['a', 'b']])
  })

  // Rows of the maximum size from another writer made the update longer than a node accepts.
  it('sends long rows as they are only if they can be read', () => {
    const long = JSON.stringify({ ...nodeOf('b'), later: 'x'.repeat(LONG_VALUE_CHARACTERS) })
    const rows = [row('a', 1, 'x'.repeat(LONG_VALUE_CHARACTERS)), row('b', 2, long), row('c', 3, long), row('d', 4, 'short')]
    expect(encodeRows(rows).map(({ value }) => value)).to.deep.equal([' ', long, ' ', 'short'])
  })
})
