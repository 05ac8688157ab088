/** Heartbeats and rows of the node table that come from another writer: they differ from those of an endpoint or a node in one respect. */
import type { IRandomService } from '../../src/common/Services.js'

/** Body of a heartbeat as an endpoint sends it. */
export interface IHeartbeatBody {
  readonly address: string
  readonly born?: number | undefined
  readonly nodeInfo: { readonly service: string, readonly version: string, readonly zone: string, readonly slots: number }
  readonly status: { readonly state: string, readonly sequence: number, readonly coldLeftMs: number }
}

/** What a foreign heartbeat is derived from. */
export interface IForeignHeartbeatOptions {
  /** Id of the endpoint. */
  readonly id: string
  /** The last heartbeat of the endpoint. */
  readonly heartbeat: IHeartbeatBody
  /** Services of the configuration. */
  readonly services: readonly string[]
  /** Addresses of other endpoints. */
  readonly otherAddresses: readonly string[]
}

/** A foreign heartbeat, and the respect in which it is foreign. */
export interface IForeignHeartbeat {
  readonly fault: ForeignFault
  readonly id: string
  readonly body: Buffer
}

const FOREIGN_FAULTS = [
  'unnamed service', 'service of another VM', 'missing field', 'field of another type', 'unnamed state', 'unreadable bytes', 'another address'
] as const

/** The respect in which a heartbeat is foreign. */
export type ForeignFault = typeof FOREIGN_FAULTS[number]

type FieldPath = readonly [string, string?]

/** Fields that every endpoint sends. */
const FIELDS: readonly FieldPath[] = [
  ['address'], ['nodeInfo'], ['status'], ['nodeInfo', 'service'], ['nodeInfo', 'version'], ['nodeInfo', 'zone'], ['nodeInfo', 'slots'],
  ['status', 'state'], ['status', 'sequence'], ['status', 'coldLeftMs']
]
const UNNAMED_STATES = ['serving', 'READY', 'gone', '']
/** A sequence number that no endpoint of the soak reaches. */
const HIGH_SEQUENCE = 1_000_000
/** Difference between the start time of an endpoint and a later one that is foreign. */
const LATER_START_MS = 1_000
const FOREIGN_ID = 'i-foreign'
const UNNAMED_SERVICE_DIGITS = 6
const HEXADECIMAL = 16
const UNREADABLE_BYTE = 0xff
const UNREADABLE_LENGTH = 64
/** Nothing listens at this address. */
export const UNUSED_ADDRESS = '127.0.0.1:9'

/** Draws a service name that no configuration has. */
export function drawUnnamedService (random: IRandomService): string {
  return `x${Array.from({ length: UNNAMED_SERVICE_DIGITS }, () => random.integer(HEXADECIMAL).toString(HEXADECIMAL)).join('')}`
}

/** Draws a heartbeat with one fault; id, sequence number, start time and state are those of the endpoint or others. */
export function drawForeignHeartbeat (options: IForeignHeartbeatOptions, random: IRandomService): IForeignHeartbeat {
  const { id, heartbeat } = options
  const fault = drawItem(FOREIGN_FAULTS, random)
  const { born = 0, status } = heartbeat
  const disguised = {
    ...heartbeat,
    born: drawItem([undefined, born, born + LATER_START_MS], random),
    status: {
      ...status,
      sequence: drawItem([0, status.sequence + 1, HIGH_SEQUENCE + random.integer(HIGH_SEQUENCE)], random),
      state: drawItem(['ready', 'ready', 'draining'], random)
    }
  }
  return { fault, id: drawItem([id, id, FOREIGN_ID], random), body: applyFault(fault, disguised, options, random) }
}

/** Returns the text of a row whose endpoint is foreign, or that cannot be read; `row` is the text of a row of a node. */
export function drawForeignRow (row: string, random: IRandomService): string {
  const unreadable = [row.slice(0, row.length / 2), '[]', '{}', 'null']
  if (random.integer(unreadable.length) === 0) return drawItem(unreadable, random)
  const fields = JSON.parse(row) as { endpoint?: object }
  const endpoint = {
    id: FOREIGN_ID, phase: 'serving', slots: 4, warmUpLeft: 0, address: UNUSED_ADDRESS, bornAt: 1, ...fields.endpoint, service: drawUnnamedService(random)
  }
  const difference = drawItem([{}, { id: FOREIGN_ID }, { id: FOREIGN_ID, address: UNUSED_ADDRESS }], random)
  return JSON.stringify({ ...fields, endpoint: { ...endpoint, ...difference } })
}

function applyFault (fault: ForeignFault, body: IHeartbeatBody, options: IForeignHeartbeatOptions, random: IRandomService): Buffer {
  switch (fault) {
    case 'unnamed service': return withFields(body, { nodeInfo: { ...body.nodeInfo, service: drawUnnamedService(random) } })
    case 'service of another VM': {
      const others = options.services.filter((service) => service !== body.nodeInfo.service)
      return withFields(body, { nodeInfo: { ...body.nodeInfo, service: drawItem(others, random) } })
    }
    case 'missing field': return withField(body, drawItem(FIELDS, random), () => undefined)
    case 'field of another type': return withField(body, drawItem([...FIELDS, ['born'] as const], random), toOtherType)
    case 'unnamed state': return withFields(body, { status: { ...body.status, state: drawItem(UNNAMED_STATES, random) } })
    case 'unreadable bytes': return toUnreadable(withFields(body, {}), random)
    case 'another address': return withFields(body, { address: drawItem([...options.otherAddresses, UNUSED_ADDRESS], random) })
  }
}

function withFields (body: IHeartbeatBody, changed: object): Buffer {
  return Buffer.from(JSON.stringify({ ...body, ...changed }))
}

/** Replaces one field; undefined removes it. */
function withField (body: IHeartbeatBody, [outer, inner]: FieldPath, replace: (value: unknown) => unknown): Buffer {
  const fields = body as unknown as Record<string, unknown>
  if (inner === undefined) return withFields(body, { [outer]: replace(fields[outer]) })
  const nested = fields[outer] as Record<string, unknown>
  return withFields(body, { [outer]: { ...nested, [inner]: replace(nested[inner]) } })
}

function toOtherType (value: unknown): unknown {
  if (typeof value === 'string') return 7
  return typeof value === 'object' ? [] : String(value)
}

/** Truncates the text, makes one of its texts invalid UTF-8, or replaces all of it. */
function toUnreadable (text: Buffer, random: IRandomService): Buffer {
  const withoutEnd = text.subarray(0, random.integer(text.length))
  const version = text.indexOf('"version":"') + '"version":"'.length
  const withInvalidText = Buffer.concat([text.subarray(0, version), Buffer.of(UNREADABLE_BYTE), text.subarray(version)])
  const bytes = Buffer.from(Array.from({ length: UNREADABLE_LENGTH }, () => random.integer(UNREADABLE_BYTE + 1)))
  return drawItem([withoutEnd, withInvalidText, bytes], random)
}

function drawItem<TItem> (items: readonly TItem[], random: IRandomService): TItem {
  return items[random.integer(items.length)] as TItem
}
