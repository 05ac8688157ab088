/** Objects in the store with the reports of each failure domain: one with the active versions, one with burn counts. */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { z } from 'zod'
import { SavoryknotError } from '../../common/SavoryknotError.js'
import type { FailureDomain, Timestamp } from '../../common/Types.js'
import type { IObjectStore } from '../../platform/Services.js'
import type { ObjectKey } from '../../platform/Types.js'
import type { IBurnMinute, IServiceReport } from '../Services.js'
import { mergeBurn } from './BurnBuckets.js'

/** Maximum inflated size of an object that is read. */
const MAXIMUM_OBJECT_BYTES = 32 * 1024 * 1024

/** Maximum number of attempts to add burn counts while another collector writes to the same object. */
const MAXIMUM_BURN_ATTEMPTS = 4

const COUNT = z.number().int().nonnegative()

const STATUS_SCHEMA = z.object({
  writtenAt: COUNT,
  members: COUNT,
  services: z.array(z.object({
    service: z.string(),
    versions: z.array(z.object({ version: COUNT, members: COUNT })),
    rejections: z.array(z.object({ node: z.string(), version: COUNT, reason: z.string() }))
  }))
})

const BURN_SCHEMA = z.object({
  /** Number of the latest write of each collector; it shows whether a write took effect whose response was lost. */
  writes: z.record(z.string(), COUNT),
  counts: z.array(z.object({ service: z.string(), minute: COUNT, good: COUNT, bad: COUNT }))
})

/** Content of a status object. */
export interface IStatusContent {
  readonly writtenAt: Timestamp
  readonly members: number
  readonly services: readonly IServiceReport[]
}

/** Content of a burn object. */
interface IBurnContent {
  readonly writes: Readonly<Record<string, number>>
  readonly counts: readonly IBurnMinute[]
}

const EMPTY_BURN: IBurnContent = Object.freeze({ writes: {}, counts: [] })

/** Counts that are added to a burn object exactly once. */
export interface IBurnAddition {
  readonly counts: readonly IBurnMinute[]
  readonly writer: string
  /** Increases with each addition of the writer. */
  readonly number: number
}

/** A report object is malformed, or could not be written because of concurrent writers. */
export class ReportObjectError extends SavoryknotError {}

/** Reads and writes the report objects of all failure domains. Errors of the store are passed to the caller. */
export class DomainObjects {
  constructor (private readonly _objects: IObjectStore) {}

  public async writeStatus (domain: FailureDomain, content: IStatusContent): Promise<void> {
    await this._objects.put(statusKey(domain), encode(content), 'any')
  }

  /** Resolves with undefined if the failure domain has no status object. */
  public async readStatus (domain: FailureDomain): Promise<IStatusContent | undefined> {
    const stored = await this._objects.get(statusKey(domain))
    if (stored === undefined) return undefined
    return decode(stored.content, STATUS_SCHEMA, domain) as IStatusContent
  }

  public async readBurn (domain: FailureDomain): Promise<readonly IBurnMinute[]> {
    const stored = await this._objects.get(burnKey(domain))
    if (stored === undefined) return []
    return (decode(stored.content, BURN_SCHEMA, domain) as IBurnContent).counts
  }

  /** Adds counts. A retry of an addition that has already taken effect adds nothing. */
  public async addBurn (domain: FailureDomain, addition: IBurnAddition, now: Timestamp): Promise<void> {
    for (let attempt = 0; attempt < MAXIMUM_BURN_ATTEMPTS; attempt++) {
      const stored = await this._objects.get(burnKey(domain))
      const content = stored === undefined ? EMPTY_BURN : decode(stored.content, BURN_SCHEMA, domain) as IBurnContent
      const { writer, number, counts } = addition
      if ((content.writes[writer] ?? 0) >= number) return
      const merged = mergeBurn([...content.counts, ...counts], now)
      const next = encode({ writes: newestWrites(content.writes, writer, number), counts: merged })
      const outcome = await this._objects.put(burnKey(domain), next, stored?.revision ?? 'absent')
      if (outcome.isWritten) return
    }
    throw new ReportObjectError('concurrent writers changed the object at every attempt', { step: 'report.burn', peer: domain })
  }
}

/** Maximum number of writers that are recorded in a burn object. */
const MAXIMUM_WRITERS = 8

/** Write numbers of the most recent writers, with `writer` as the latest. */
function newestWrites (writes: Readonly<Record<string, number>>, writer: string, number: number): Record<string, number> {
  const others = Object.entries(writes).filter(([name]) => name !== writer)
  return Object.fromEntries([...others, [writer, number] as const].slice(-MAXIMUM_WRITERS))
}

function statusKey (domain: FailureDomain): ObjectKey {
  return `reports/status/${domain}` as ObjectKey
}

function burnKey (domain: FailureDomain): ObjectKey {
  return `reports/burn/${domain}` as ObjectKey
}

function encode (content: IStatusContent | IBurnContent): Uint8Array {
  return deflateRawSync(JSON.stringify(content))
}

/** Parses an object; unknown fields, such as fields of other software versions, are ignored. */
function decode (content: Uint8Array, schema: z.ZodType, domain: FailureDomain): unknown {
  try {
    return schema.parse(JSON.parse(inflateRawSync(content, { maxOutputLength: MAXIMUM_OBJECT_BYTES }).toString()))
  } catch (cause) {
    throw new ReportObjectError('report object cannot be read', { step: 'report.decode', peer: domain, cause })
  }
}
