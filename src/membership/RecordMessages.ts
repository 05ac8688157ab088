/** Messages that carry node records. */
import { toWireRecord } from './RecordCodec.js'
import type { PeerMessage } from '../generated/savoryknot/PeerMessage.js'
import type { INodeRecord } from './Types.js'

/** Messages that carry the records, none too long. */
export function createRecordMessages (records: readonly INodeRecord[], recordsPerMessage: number): readonly PeerMessage[] {
  const messages: PeerMessage[] = []
  for (let start = 0; start < records.length; start += recordsPerMessage) {
    messages.push({ nodeRecords: { records: records.slice(start, start + recordsPerMessage).map(toWireRecord) } })
  }
  return messages
}
