/** Validates received versions individually before they may enter a snapshot. */
import { hashContent } from '../common/Ids.js'
import type { ContentHash, ServiceName } from '../common/Types.js'
import type { IDocumentParser } from './Services.js'
import type { IActiveDocument, IDocumentFault, IRejection, ISnapshot, IVersionedText, IVersionEntry, ParseResult } from './Types.js'

/** Versions that may be applied, and versions that are refused for good. */
export interface ICheckedCandidates {
  /** By service, the newest version first. */
  readonly queues: ReadonlyMap<ServiceName, readonly IActiveDocument[]>
  readonly refused: readonly IRejection[]
}

/** Parse results cached, because a waiting version is offered on every build. */
const MAXIMUM_CACHED_RESULTS = 64
/** Faults listed in the reason of a rejection. */
const MAXIMUM_DESCRIBED_FAULTS = 3

/** Applies the same checks as acceptance. */
export class CandidateValidator {
  private readonly _parseResults = new Map<ContentHash, ParseResult>()

  constructor (private readonly _parser: IDocumentParser) {}

  /** Ignores candidates that are not newer than `previous`. */
  public validate (previous: ISnapshot, candidates: readonly IVersionedText[]): ICheckedCandidates {
    const queues = new Map<ServiceName, IActiveDocument[]>()
    const refused: IRejection[] = []
    for (const candidate of candidates) {
      const reason = this._enqueue(previous, candidate, queues)
      if (reason !== undefined) refused.push({ entry: toEntry(candidate), reason, isWaiting: false })
    }
    for (const queue of queues.values()) queue.sort((left, right) => right.version - left.version)
    return { queues, refused }
  }

  /** Adds the candidate to the queue of its service; returns the reason if the candidate is refused. */
  private _enqueue (previous: ISnapshot, candidate: IVersionedText, queues: Map<ServiceName, IActiveDocument[]>): string | undefined {
    const current = previous.documents.get(candidate.service)
    const queue = queues.get(candidate.service) ?? []
    const sameVersion = [current, ...queue].find((other) => other?.version === candidate.version)
    if (sameVersion !== undefined) return isSame(sameVersion, candidate) ? undefined : `version ${candidate.version} has another content here`
    if (current !== undefined && candidate.version < current.version) return undefined
    const active = this._check(candidate)
    if (typeof active === 'string') return active
    queue.push(active)
    queues.set(candidate.service, queue)
    return undefined
  }

  /** The document, or the reason why the candidate is refused. */
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
    const cached = this._parseResults.get(candidate.hash)
    if (cached !== undefined) return cached
    const result = this._parser.parse(candidate.text)
    this._parseResults.set(candidate.hash, result)
    if (this._parseResults.size > MAXIMUM_CACHED_RESULTS) this._dropOldest()
    return result
  }

  private _dropOldest (): void {
    const [oldest] = this._parseResults.keys()
    this._parseResults.delete(oldest)
  }
}

function isSame (current: IVersionEntry, candidate: IVersionEntry): boolean {
  return current.hash === candidate.hash && current.isTombstone === candidate.isTombstone
}

function toEntry ({ service, version, hash, isTombstone }: IVersionEntry): IVersionEntry {
  return { service, version, hash, isTombstone }
}

function describeFaults (faults: readonly IDocumentFault[]): string {
  const described = faults.slice(0, MAXIMUM_DESCRIBED_FAULTS).map(({ section, key, message }) => `[${section}] ${key}: ${message}`)
  const omitted = faults.length > MAXIMUM_DESCRIBED_FAULTS ? `; and ${faults.length - MAXIMUM_DESCRIBED_FAULTS} more` : ''
  return `invalid document: ${described.join('; ')}${omitted}`
}
