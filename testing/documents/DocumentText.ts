/** Writes texts of documents for tests and benchmarks. */
import { hashContent } from '../../src/common/Ids.js'
import type { DocumentVersion, ServiceName } from '../../src/common/Types.js'
import type { IVersionedText } from '../../src/documents/Types.js'

/** Properties of a document that a test varies. */
export interface IDocumentTextOptions {
  readonly service: string
  readonly owner: string
  /** Names of the exported pools. */
  readonly pools: readonly string[]
  /** Targets of the routes, each `service/pool`. */
  readonly targets: readonly string[]
  /** Distinguishes texts that are otherwise equal. */
  readonly note: string
}

/** Defaults of `writeDocument`, except the name of the service. */
export const DEFAULT_DOCUMENT_TEXT_OPTIONS: Omit<IDocumentTextOptions, 'service'> = Object.freeze({
  owner: 'permits', pools: ['endpoints'], targets: [], note: ''
})

/** A valid document with one route for each target. */
export function writeDocument (options: Partial<IDocumentTextOptions> & { readonly service: string }): string {
  const { service, owner, pools, targets, note } = { ...DEFAULT_DOCUMENT_TEXT_OPTIONS, ...options }
  const lines = [
    `; ${note}`, '[service]', 'format = 1', `name = ${service}`, `owner = ${owner}`,
    '[objective]', 'availability = 99.9 %', 'latency = 250 ms', '[stop]', 'drain-grace = 10 s'
  ]
  for (const pool of pools) lines.push(`[pool.${pool}]`, 'exported = yes', 'slots = 9', 'connections = 110')
  targets.forEach((target, position) => {
    lines.push(`[route.to-${position}]`, 'method = GET', `path = /to-${position}/**`, `target = ${target}`, 'repeat = idempotent', 'deadline = 800 ms')
  })
  return `${lines.join('\n')}\n`
}

/** A version of a document as sent between nodes; a tombstone if there is no text. */
export function versionOf (service: string, version: number, text?: string): IVersionedText {
  const content = text ?? ''
  return {
    service: service as ServiceName,
    version: version as DocumentVersion,
    hash: hashContent(content),
    isTombstone: text === undefined,
    text: content
  }
}
