/** Encodes and decodes rows of the node table. */
import { z } from 'zod'
import type { EndpointId, FailureDomain, Region, ServiceName } from '../../common/Types.js'
import { CRASH_REPORT_SCHEMA, encodeCrashReport } from '../crashes/CrashCodec.js'
import { MalformedRecordError } from '../MeshErrors.js'
import { addressField, slotsField, startTimeField, textField, warmUpField } from '../RecordFields.js'
import type { INodeRow, NodeName } from '../Types.js'

const ROW_SCHEMA: z.ZodType<INodeRow> = z.object({
  node: textField.transform((value) => value as NodeName),
  failureDomain: textField.transform((value) => value as FailureDomain),
  region: textField.transform((value) => value as Region),
  gateAddress: addressField,
  peerAddress: addressField,
  isLeaving: z.boolean(),
  endpoint: z.object({
    id: textField.transform((value) => value as EndpointId),
    bornAt: startTimeField,
    service: textField.transform((value) => value as ServiceName),
    address: addressField,
    slots: slotsField,
    phase: z.enum(['serving', 'draining', 'gone']),
    warmUpLeft: warmUpField
  }).optional(),
  crashReport: CRASH_REPORT_SCHEMA.optional()
})

export function encodeNodeRow (row: INodeRow): string {
  return JSON.stringify({ ...row, crashReport: row.crashReport === undefined ? undefined : encodeCrashReport(row.crashReport) })
}

/** Decodes the row with the key `node`. Throws `MalformedRecordError` if the text is no valid row, or the row of another node. */
export function decodeNodeRow (value: string, node: NodeName): INodeRow {
  const row = parseRow(value)
  if (row.node !== node) throw new MalformedRecordError('row of the node table contains the name of another node', { step: 'nodes.decode' })
  return row
}

function parseRow (value: string): INodeRow {
  try {
    return ROW_SCHEMA.parse(JSON.parse(value))
  } catch (cause) {
    throw new MalformedRecordError('row of the node table is not valid JSON or does not match the schema', { step: 'nodes.decode', cause })
  }
}
