/** The objects in which each failure domain's reports are kept: one with versions in force, one with burn counts. */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { z } from 'zod'
import { SavoryknotError } from '../../common/SavoryknotError.js'
import type { FailureDomain, Timestamp } from '../../common/Types.js'
import type { IObjectStore } from '../../platform/Services.js'
import type { ObjectKey } from '../../platform/Types.js'
import type { IBurnMinute, IServiceReport } from '../Services.js'
import { mergeBurn } from './BurnBuckets.js'

/** Largest object that is read, inflated. */
const MAXIMUM_OBJECT_BYTES = 32 * 1024 * 1024

/** Attempts to add burn counts while another collector writes, too. */
const BURN_ATTEMPTS = 4

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
  /** Newest write of each collector, which tells whether a write with a lost answer took effect. */
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

/** Counts to be added to a burn object once. */
export interface IBurnAddition {
  readonly counts: readonly IBurnMinute[]
  readonly writer: string
  /** Higher with each addition of the writer. */
  readonly number: number
}

/** An object does not hold what it should. */
export class ReportObjectError extends SavoryknotError {}

/** Reads and writes the objects of all failure domains. Every method rejects with the errors of the store. */
export class DomainObjects {
  constructor (private readonly _objects: IObjectStore) {}

  public async writeStatus (domain: FailureDomain, content: IStatusContent): Promise<void> {
    await this._objects.put(statusKey(domain), encode(content), 'any')
  }

  /** Undefined if the domain never wrote one. */
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

  /** Adds counts. A repeat of the same addition adds nothing. */
  public async addBurn (domain: FailureDomain, addition: IBurnAddition, now: Timestamp): Promise<void> {
    for (let attempt = 0; attempt < BURN_ATTEMPTS; attempt++) {
      const stored = await this._objects.get(burnKey(domain))
      const content = stored === undefined ? EMPTY_BURN : decode(stored.content, BURN_SCHEMA, domain) as IBurnContent
      const { writer, number, counts } = addition
      if ((content.writes[writer] ?? 0) >= number) return
      const merged = mergeBurn([...content.counts, ...counts], now)
      const next = encode({ writes: newestWrites(content.writes, writer, number), counts: merged })
      const outcome = await this._objects.put(burnKey(domain), next, stored?.revision ?? 'absent')
      if (outcome.isWritten) return
    }
    throw new ReportObjectError('other writers were always first', { step: 'report.burn', peer: domain })
  }
}

/** Writers kept in a burn object. */
const KEPT_WRITERS = 8

/** Numbers of the writers that wrote last. */
function newestWrites (writes: Readonly<Record<string, number>>, writer: string, number: number): Record<string, number> {
  const others = Object.entries(writes).filter(([name]) => name !== writer)
  return Object.fromEntries([...others, [writer, number] as const].slice(-KEPT_WRITERS))
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

/** Parses an object; what other software added is ignored. */
function decode (content: Uint8Array, schema: z.ZodType, domain: FailureDomain): unknown {
  try {
    return schema.parse(JSON.parse(inflateRawSync(content, { maxOutputLength: MAXIMUM_OBJECT_BYTES }).toString()))
  } catch (cause) {
    throw new ReportObjectError('report object cannot be read', { step: 'report.decode', peer: domain, cause })
  }
}
