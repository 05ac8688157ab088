/** Types and schemas of the directory objects in the object store. */
import { z } from 'zod'
import { isNetworkAddress } from './RecordCodec.js'
import type { FailureDomain, NetworkAddress, NodeId, Region, Timestamp } from '../common/Types.js'
import type { ObjectExpectation } from '../platform/Types.js'

const MAXIMUM_ENTRIES = 1_024

/** A member in the directory. */
export interface IDirectoryEntry {
  readonly id: NodeId
  readonly peerAddress: NetworkAddress
}

/** Members of one failure domain that were alive at `writtenAt`. */
export interface IDirectoryObject {
  readonly writtenAt: Timestamp
  readonly members: readonly IDirectoryEntry[]
}

/** All failure domains of the deployment. */
export interface IDomainList {
  readonly domains: ReadonlyArray<{ readonly failureDomain: FailureDomain, readonly region: Region }>
}

/** A directory object, with the expected revision for a conditional write. */
export interface IDirectoryRead<TObject> {
  /** Undefined if the object is missing or invalid. */
  readonly value: TObject | undefined
  readonly expected: ObjectExpectation
}

const ENTRY_SCHEMA = z.object({
  id: z.string().min(1).max(64).transform((text) => text as NodeId),
  peerAddress: z.string().refine(isNetworkAddress).transform((text) => text as NetworkAddress)
})

export const DIRECTORY_OBJECT_SCHEMA = z.object({
  writtenAt: z.number().transform((time) => time as Timestamp),
  members: z.array(ENTRY_SCHEMA).max(MAXIMUM_ENTRIES)
})

export const DIRECTORY_SLOT_SCHEMA = ENTRY_SCHEMA

export const DOMAIN_LIST_SCHEMA = z.object({
  domains: z.array(z.object({
    failureDomain: z.string().min(1).max(63).transform((text) => text as FailureDomain),
    region: z.string().min(1).max(63).transform((text) => text as Region)
  })).max(MAXIMUM_ENTRIES)
})
