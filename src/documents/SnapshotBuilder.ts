/** Builds immutable snapshots from versions that arrive in any order. */
import type { IInvariantService } from '../common/Services.js'
import type { ServiceName } from '../common/Types.js'
import { CandidateReader } from './CandidateReader.js'
import { findOpenReferences } from './Closure.js'
import type { IDocumentParser, ISnapshotBuild, ISnapshotBuilder } from './Services.js'
import { Snapshot } from './Snapshot.js'
import type { IActiveDocument, IRejection, ISnapshot, IVersionedText } from './Types.js'

/** What the snapshot builder needs. */
export interface ISnapshotBuilderOptions {
  readonly parser: IDocumentParser
  readonly invariants: IInvariantService
}

type Documents = ReadonlyMap<ServiceName, IActiveDocument>
/** Candidates by service, the newest version first. */
type Queues = ReadonlyMap<ServiceName, readonly IActiveDocument[]>

/** A set of documents whose references are closed, and why the others wait. */
interface IClosedSet {
  readonly documents: Documents
  /** Reason by service whose candidate is not in the set. */
  readonly waiting: ReadonlyMap<ServiceName, string>
}

/**
 * Applies the largest set that it finds of candidates which leave no route without its resource.
 * It begins with all of them together, so candidates that need each other are applied together.
 */
export class SnapshotBuilder implements ISnapshotBuilder {
  public readonly empty: ISnapshot = new Snapshot(new Map())
  private readonly _reader: CandidateReader
  private readonly _invariants: IInvariantService

  constructor (options: ISnapshotBuilderOptions) {
    this._reader = new CandidateReader(options.parser)
    this._invariants = options.invariants
  }

  public build (previous: ISnapshot, candidates: readonly IVersionedText[]): ISnapshotBuild {
    const { queues, refused } = this._reader.read(previous, candidates)
    const { documents, waiting } = applyInRounds(previous.documents, queues)
    const rejections = [...refused, ...describeWaiting(documents, queues, waiting)]
    if (documents === previous.documents || !this._check(previous.documents, documents)) return { snapshot: previous, rejections }
    return { snapshot: new Snapshot(documents), rejections }
  }

  /** Asserts on the result what the construction promises. */
  private _check (previous: Documents, documents: Documents): boolean {
    let isMonotonic = true
    for (const [service, { version }] of previous) {
      const next = documents.get(service)
      if (next === undefined || next.version < version) isMonotonic = false
    }
    const isClosed = findOpenReferences(documents).length === 0
    const isMonotonicHeld = this._invariants.check(isMonotonic, 'version-never-lower', 'documents.build')
    return this._invariants.check(isClosed, 'route-has-resource', 'documents.build') && isMonotonicHeld
  }
}

/** Tries the newest candidates first, then the older ones of services that wait, until nothing more can be applied. */
function applyInRounds (previous: Documents, queues: Queues): IClosedSet {
  let documents = previous
  let waiting: ReadonlyMap<ServiceName, string> = new Map()
  let depth = 0
  while (depth < longest(queues)) {
    const chosen = chooseCandidates(documents, queues, depth)
    const closed = applyClosed(documents, chosen)
    if (depth === 0) waiting = closed.waiting
    // An applied version may be what a newer one of another service waited for.
    depth = closed.documents === documents ? depth + 1 : 0
    documents = closed.documents
  }
  return { documents, waiting }
}

function longest (queues: Queues): number {
  let length = 0
  for (const queue of queues.values()) length = Math.max(length, queue.length)
  return length
}

/** The candidate at `depth` of each service, unless the service already has a version as new. */
function chooseCandidates (documents: Documents, queues: Queues, depth: number): IActiveDocument[] {
  const chosen: IActiveDocument[] = []
  for (const [service, queue] of queues) {
    const candidate = queue[depth]
    const present = documents.get(service)?.version ?? 0
    if (candidate !== undefined && candidate.version > present) chosen.push(candidate)
  }
  return chosen
}

/** Applies all of `chosen`, then takes back those that leave a reference open until none is. */
function applyClosed (previous: Documents, chosen: readonly IActiveDocument[]): IClosedSet {
  const waiting = new Map<ServiceName, string>()
  if (chosen.length === 0) return { documents: previous, waiting }
  const documents = new Map(previous)
  const applied = new Set<ServiceName>()
  for (const candidate of chosen) {
    documents.set(candidate.service, candidate)
    applied.add(candidate.service)
  }
  let open = findOpenReferences(documents)
  while (open.length > 0) {
    const before = applied.size
    for (const { from, to, reason } of open) {
      // A version in force keeps its resources: then the candidate that would remove them waits.
      const culprit = applied.has(from) ? from : to
      if (!applied.delete(culprit)) continue
      waiting.set(culprit, reason)
      restore(documents, previous, culprit)
    }
    // Nothing left to take back: the reference was open before, which no build produces.
    if (applied.size === before) break
    open = findOpenReferences(documents)
  }
  return { documents: applied.size === 0 ? previous : documents, waiting }
}

function restore (documents: Map<ServiceName, IActiveDocument>, previous: Documents, service: ServiceName): void {
  const before = previous.get(service)
  if (before === undefined) documents.delete(service)
  else documents.set(service, before)
}

/** One rejection for each candidate that is newer than what is in force. */
function describeWaiting (documents: Documents, queues: Queues, waiting: ReadonlyMap<ServiceName, string>): IRejection[] {
  const rejections: IRejection[] = []
  for (const [service, queue] of queues) {
    const present = documents.get(service)?.version ?? 0
    for (const { version, hash, isTombstone } of queue) {
      if (version <= present) continue
      const reason = waiting.get(service) ?? 'waits for other documents'
      rejections.push({ entry: { service, version, hash, isTombstone }, reason, isWaiting: true })
    }
  }
  return rejections
}
