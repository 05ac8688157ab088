/** Nodes, and rows of the node table, for tests. */
import type { FailureDomain, NetworkAddress, Region, Timestamp } from '../../src/common/Types.js'
import type { IKnownNode, NodeName } from '../../src/mesh/Types.js'
import { encodeNodeRow } from '../../src/mesh/view/NodeRowCodec.js'
import type { IChangeBatch, IChangedRow, RowKey, StorePosition } from '../../src/platform/Types.js'

/** Time at which the nodes of tests were learnt. */
export const NOW = 1_000 as Timestamp

export function nodeOf (name: string, region = 'r1', isLeaving = false, address = `10.0.0.${name.charCodeAt(0)}:1`): IKnownNode {
  return {
    node: name as NodeName,
    failureDomain: 'z1' as FailureDomain,
    region: region as Region,
    gateAddress: address as NetworkAddress,
    peerAddress: '10.0.0.1:2' as NetworkAddress,
    isLeaving,
    learntAt: NOW
  }
}

export function row (name: string, position: number, value: string | undefined = encodeNodeRow(nodeOf(name))): IChangedRow {
  return { key: name as RowKey, position: position as StorePosition, value }
}

export function batch (rows: readonly IChangedRow[], position: number, isWhole = false): IChangeBatch {
  return { rows, position: position as StorePosition, isWhole }
}
