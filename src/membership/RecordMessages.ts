/** Splits node records into messages. */
import { toWireRecord } from './RecordCodec.js'
import type { PeerMessage } from '../generated/savoryknot/PeerMessage.js'
import type { INodeRecord } from './Types.js'

/** Creates messages that carry the records, each with at most `recordsPerMessage` of them. */
export function createRecordMessages (records: readonly INodeRecord[], recordsPerMessage: number): readonly PeerMessage[] {
  const messages: PeerMessage[] = []
  for (let start = 0; start < records.length; start += recordsPerMessage) {
    messages.push({ nodeRecords: { records: records.slice(start, start + recordsPerMessage).map(toWireRecord) } })
  }
  return messages
}
