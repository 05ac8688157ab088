/** Converts node records between their wire format and memory, and validates every field received from a peer. */
import { isName } from '../common/Ids.js'
import type { EndpointId, FailureDomain, NetworkAddress, NodeId, Region, ServiceName, Timestamp } from '../common/Types.js'
import type { Endpoint, ReceivedEndpoint } from '../generated/savoryknot/Endpoint.js'
import type { ReceivedMemberEntry } from '../generated/savoryknot/MemberEntry.js'
import type { NodeRecord, ReceivedNodeRecord } from '../generated/savoryknot/NodeRecord.js'
import type { EndpointState, IEndpoint, INodeRecord, MemberState } from './Types.js'

const NODE_ID_PATTERN = /^[0-9A-Za-z-]{1,64}$/
const ENDPOINT_ID_PATTERN = /^[\x21-\x7e]{1,128}$/
const ADDRESS_PATTERN = /^(?:[0-9A-Za-z.-]{1,64}|\[[0-9a-fA-F:.]{2,45}\]):[0-9]{1,5}$/
const MAXIMUM_ENDPOINTS = 64
const MAXIMUM_SLOTS = 1_000_000
const MAXIMUM_SOFTWARE_LENGTH = 64
const MAXIMUM_INTERNED_TEXTS = 8_192

/** Strings that many records share; each is stored once. */
const INTERNED_TEXTS = new Map<string, string>()

const MEMBER_STATES: Readonly<Record<string, MemberState>> = Object.freeze({ ALIVE: 'alive', SUSPECT: 'suspect', DEAD: 'dead', LEFT: 'left' })
const ENDPOINT_STATES: Readonly<Record<string, EndpointState>> = Object.freeze({
  WARMING: 'warming', SERVING: 'serving', DRAINING: 'draining', ENDPOINT_LEFT: 'left'
})
const WIRE_MEMBER_STATES = Object.freeze({ alive: 'ALIVE', suspect: 'SUSPECT', dead: 'DEAD', left: 'LEFT' } as const)
const WIRE_ENDPOINT_STATES = Object.freeze({
  warming: 'WARMING', serving: 'SERVING', draining: 'DRAINING', left: 'ENDPOINT_LEFT'
} as const)

/** Id of a member and version of its record. */
export interface IMemberVersion {
  readonly id: NodeId
  readonly incarnation: number
  readonly sequence: number
  readonly state: MemberState
}

/** Wire format of a record. */
export function toWireRecord (record: INodeRecord): NodeRecord {
  const { id, failureDomain, region, peerAddress, gateAddress, incarnation, sequence, software } = record
  const endpoints = record.endpoints.map(toWireEndpoint)
  const state = WIRE_MEMBER_STATES[record.state]
  return { id, failureDomain, region, peerAddress, gateAddress, incarnation, sequence, software, endpoints, state }
}

/** Wire format of the id, incarnation, sequence and state of a record. */
export function toWireEntry (record: IMemberVersion): ReceivedMemberEntry {
  return { id: record.id, incarnation: record.incarnation, sequence: record.sequence, state: WIRE_MEMBER_STATES[record.state] }
}

/** Returns undefined if any field exceeds its limits. */
export function fromWireRecord (record: ReceivedNodeRecord): INodeRecord | undefined {
  const version = fromWireEntry(record)
  if (version === undefined || !hasValidLocationAndAddresses(record) || record.software.length > MAXIMUM_SOFTWARE_LENGTH) return undefined
  const endpoints = fromWireEndpoints(record.endpoints)
  if (endpoints === undefined) return undefined
  return Object.freeze({
    ...version,
    failureDomain: intern(record.failureDomain) as FailureDomain,
    region: intern(record.region) as Region,
    peerAddress: record.peerAddress as NetworkAddress,
    gateAddress: (record.gateAddress === record.peerAddress ? record.peerAddress : record.gateAddress) as NetworkAddress,
    endpoints,
    software: intern(record.software)
  })
}

/** Returns undefined if any field exceeds its limits. */
export function fromWireEntry (entry: ReceivedMemberEntry): IMemberVersion | undefined {
  const state = MEMBER_STATES[entry.state]
  if (!NODE_ID_PATTERN.test(entry.id) || state === undefined) return undefined
  if (!isNonNegativeSafeInteger(entry.incarnation) || !isNonNegativeSafeInteger(entry.sequence)) return undefined
  return { id: entry.id as NodeId, incarnation: entry.incarnation, sequence: entry.sequence, state }
}

/** Whether `text` has the form `host:port`. */
export function isNetworkAddress (text: string): text is NetworkAddress {
  return ADDRESS_PATTERN.test(text)
}

function hasValidLocationAndAddresses (record: ReceivedNodeRecord): boolean {
  return isName(record.failureDomain) && isName(record.region) &&
    isNetworkAddress(record.peerAddress) && isNetworkAddress(record.gateAddress)
}

function toWireEndpoint (endpoint: IEndpoint): Endpoint {
  const { id, service, slots, since } = endpoint
  return { id, service, slots, since, state: WIRE_ENDPOINT_STATES[endpoint.state] }
}

function fromWireEndpoints (endpoints: readonly ReceivedEndpoint[]): readonly IEndpoint[] | undefined {
  if (endpoints.length > MAXIMUM_ENDPOINTS) return undefined
  const valid: IEndpoint[] = []
  for (const endpoint of endpoints) {
    const state = ENDPOINT_STATES[endpoint.state]
    if (state === undefined || !ENDPOINT_ID_PATTERN.test(endpoint.id) || !isName(endpoint.service)) return undefined
    if (endpoint.slots > MAXIMUM_SLOTS || !isNonNegativeSafeInteger(endpoint.since)) return undefined
    const service = intern(endpoint.service) as ServiceName
    valid.push({ id: endpoint.id as EndpointId, service, state, slots: endpoint.slots, since: endpoint.since as Timestamp })
  }
  return valid
}

function isNonNegativeSafeInteger (value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0
}

function intern (text: string): string {
  const known = INTERNED_TEXTS.get(text)
  if (known !== undefined) return known
  if (INTERNED_TEXTS.size < MAXIMUM_INTERNED_TEXTS) INTERNED_TEXTS.set(text, text)
  return text
}
