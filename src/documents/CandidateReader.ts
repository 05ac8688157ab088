/** Checks versions that arrived, each by itself, before they may enter a snapshot. */
import { hashContent } from '../common/Ids.js'
import type { ContentHash, ServiceName } from '../common/Types.js'
import type { IDocumentParser } from './Services.js'
import type { IActiveDocument, IDocumentFault, IRejection, ISnapshot, IVersionedText, IVersionEntry, ParseResult } from './Types.js'

/** Versions that may be applied, and those that never will be. */
export interface IReadCandidates {
  /** By service, the newest version first. */
  readonly queues: ReadonlyMap<ServiceName, readonly IActiveDocument[]>
  readonly refused: readonly IRejection[]
}

/** Parse results kept, because a version that waits is offered again and again. */
const KEPT_RESULTS = 64
/** Faults named in the reason of a rejection. */
const NAMED_FAULTS = 3

/** Makes the same checks as acceptance. */
export class CandidateReader {
  private readonly _results = new Map<ContentHash, ParseResult>()

  constructor (private readonly _parser: IDocumentParser) {}

  /** Leaves out what is not newer than `previous`. */
  public read (previous: ISnapshot, candidates: readonly IVersionedText[]): IReadCandidates {
    const queues = new Map<ServiceName, IActiveDocument[]>()
    const refused: IRejection[] = []
    for (const candidate of candidates) {
      const reason = this._enter(previous, candidate, queues)
      if (reason !== undefined) refused.push({ entry: toEntry(candidate), reason, isWaiting: false })
    }
    for (const queue of queues.values()) queue.sort((left, right) => right.version - left.version)
    return { queues, refused }
  }

  /** Adds the candidate to the queue of its service; answers the reason if it is refused. */
  private _enter (previous: ISnapshot, candidate: IVersionedText, queues: Map<ServiceName, IActiveDocument[]>): string | undefined {
    const present = previous.documents.get(candidate.service)
    const queue = queues.get(candidate.service) ?? []
    const twin = [present, ...queue].find((other) => other?.version === candidate.version)
    if (twin !== undefined) return isSame(twin, candidate) ? undefined : `version ${candidate.version} has another content here`
    if (present !== undefined && candidate.version < present.version) return undefined
    const active = this._check(candidate)
    if (typeof active === 'string') return active
    queue.push(active)
    queues.set(candidate.service, queue)
    return undefined
  }

  /** The document, or the reason why there is none. */
  private _check (candidate: IVersionedText): IActiveDocument | string {
    if (!Number.isSafeInteger(candidate.version) || candidate.version < 1) return 'version is not a whole number from 1'
    if (hashContent(candidate.text) !== candidate.hash) return 'hash of the text differs from the announced one'
    if (candidate.isTombstone) return candidate.text === '' ? { ...toEntry(candidate), document: undefined, text: '' } : 'tombstone has a text'
    const result = this._parse(candidate)
    if (!result.isValid) return describeFaults(result.faults)
    if (result.document.service !== candidate.service) return `text is the document of service ${result.document.service}`
    return { ...toEntry(candidate), document: result.document, text: candidate.text }
  }

  private _parse (candidate: IVersionedText): ParseResult {
    const kept = this._results.get(candidate.hash)
    if (kept !== undefined) return kept
    const result = this._parser.parse(candidate.text)
    this._results.set(candidate.hash, result)
    if (this._results.size > KEPT_RESULTS) this._dropOldest()
    return result
  }

  private _dropOldest (): void {
    const [oldest] = this._results.keys()
    this._results.delete(oldest)
  }
}

function isSame (present: IVersionEntry, candidate: IVersionEntry): boolean {
  return present.hash === candidate.hash && present.isTombstone === candidate.isTombstone
}

function toEntry ({ service, version, hash, isTombstone }: IVersionEntry): IVersionEntry {
  return { service, version, hash, isTombstone }
}

function describeFaults (faults: readonly IDocumentFault[]): string {
  const named = faults.slice(0, NAMED_FAULTS).map(({ section, key, message }) => `[${section}] ${key}: ${message}`)
  const rest = faults.length > NAMED_FAULTS ? `; and ${faults.length - NAMED_FAULTS} more` : ''
  return `invalid document: ${named.join('; ')}${rest}`
}
