/** Encodes and decodes rows of the node table. */
import { z } from 'zod'
import type { EndpointId, FailureDomain, Milliseconds, NetworkAddress, Region, ServiceName } from '../../common/Types.js'
import { CRASH_REPORT_SCHEMA } from '../crashes/CrashCodec.js'
import { MalformedRecordError } from '../MeshErrors.js'
import type { INodeRow, NodeName } from '../Types.js'

const MAXIMUM_TEXT_LENGTH = 200
const MAXIMUM_SLOTS = 100_000
const ADDRESS_PATTERN = /^[0-9.]+:\d{1,5}$/

const text = z.string().min(1).max(MAXIMUM_TEXT_LENGTH)
const address = z.string().regex(ADDRESS_PATTERN).transform((value) => value as NetworkAddress)

const ROW_SCHEMA: z.ZodType<INodeRow> = z.object({
  node: text.transform((value) => value as NodeName),
  failureDomain: text.transform((value) => value as FailureDomain),
  region: text.transform((value) => value as Region),
  gateAddress: address,
  peerAddress: address,
  isLeaving: z.boolean(),
  endpoint: z.object({
    id: text.transform((value) => value as EndpointId),
    bornAt: z.number().min(0),
    service: text.transform((value) => value as ServiceName),
    address,
    slots: z.number().int().min(1).max(MAXIMUM_SLOTS),
    phase: z.enum(['serving', 'draining', 'gone']),
    warmUpLeft: z.number().min(0).transform((value) => value as Milliseconds)
  }).optional(),
  crashReport: CRASH_REPORT_SCHEMA.optional()
})

export function encodeNodeRow (row: INodeRow): string {
  return JSON.stringify(row)
}

/** Throws `MalformedRecordError` if the text is no valid row. */
export function decodeNodeRow (value: string): INodeRow {
  try {
    return ROW_SCHEMA.parse(JSON.parse(value))
  } catch (cause) {
    throw new MalformedRecordError('row of the node table is not valid JSON or does not match the schema', { step: 'nodes.decode', cause })
  }
}
