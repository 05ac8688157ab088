/** Encodes and decodes rows of the node table. */
import { z } from 'zod'
import type { EndpointId, FailureDomain, Region, ServiceName } from '../../common/Types.js'
import { decodeCrashReport, encodeCrashReport } from '../crashes/CrashCodec.js'
import { MalformedRecordError } from '../MeshErrors.js'
import { addressField, slotsField, startTimeField, textField, warmUpField } from '../RecordFields.js'
import type { INodeRow, NodeName } from '../Types.js'

/** The crash report is decoded separately: a malformed report must not cost the endpoint. */
const ROW_SCHEMA = z.object({
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
  crashReport: z.unknown().optional()
})

export function encodeNodeRow (row: INodeRow): string {
  return JSON.stringify({ ...row, crashReport: row.crashReport === undefined ? undefined : encodeCrashReport(row.crashReport) })
}

/** A row, and the number of entries of its crash report that could not be decoded. */
export interface IDecodedNodeRow {
  readonly row: INodeRow
  readonly ignoredCrashes: number
}

/** Decodes the row with the key `node`. Throws `MalformedRecordError` if the text is no valid row, or the row of another node. */
export function decodeNodeRow (value: string, node: NodeName): IDecodedNodeRow {
  const { crashReport, ...row } = parseRow(value)
  if (row.node !== node) throw new MalformedRecordError('row of the node table contains the name of another node', { step: 'nodes.decode' })
  if (crashReport === undefined) return { row, ignoredCrashes: 0 }
  const { report, ignored } = decodeCrashReport(crashReport)
  return { row: report === undefined ? row : { ...row, crashReport: report }, ignoredCrashes: ignored }
}

function parseRow (value: string): z.infer<typeof ROW_SCHEMA> {
  try {
    return ROW_SCHEMA.parse(JSON.parse(value))
  } catch (cause) {
    throw new MalformedRecordError('row of the node table is not valid JSON or does not match the schema', { step: 'nodes.decode', cause })
  }
}
