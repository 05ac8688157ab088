/** Builds immutable snapshots from versions that arrive in any order. */
import type { IInvariantService } from '../common/Services.js'
import type { ServiceName } from '../common/Types.js'
import { CandidateValidator } from './CandidateValidator.js'
import { findDanglingReferences } from './DanglingReferences.js'
import type { IDocumentParser, ISnapshotBuild, ISnapshotBuilder } from './Services.js'
import { Snapshot } from './Snapshot.js'
import type { IActiveDocument, IRejection, ISnapshot, IVersionedText } from './Types.js'

/** Dependencies of `SnapshotBuilder`. */
export interface ISnapshotBuilderOptions {
  readonly parser: IDocumentParser
  readonly invariants: IInvariantService
}

type Documents = ReadonlyMap<ServiceName, IActiveDocument>
/** Candidates by service, the newest version first. */
type Queues = ReadonlyMap<ServiceName, readonly IActiveDocument[]>

/** A set of documents whose references are all resolved, and the reasons why other candidates wait. */
interface IConsistentSet {
  readonly documents: Documents
  /** Reasons, by service, why a candidate is not in the set. */
  readonly waiting: ReadonlyMap<ServiceName, string>
}

/**
 * Applies the largest set of candidates that it finds without a dangling reference.
 * It starts with all candidates together, so candidates that depend on each other are applied together.
 */
export class SnapshotBuilder implements ISnapshotBuilder {
  public readonly empty: ISnapshot = new Snapshot(new Map())
  private readonly _validator: CandidateValidator
  private readonly _invariants: IInvariantService

  constructor (options: ISnapshotBuilderOptions) {
    this._validator = new CandidateValidator(options.parser)
    this._invariants = options.invariants
  }

  public build (previous: ISnapshot, candidates: readonly IVersionedText[]): ISnapshotBuild {
    const { queues, refused } = this._validator.validate(previous, candidates)
    const { documents, waiting } = applyInRounds(previous.documents, queues)
    const rejections = [...refused, ...describeWaiting(documents, queues, waiting)]
    if (documents === previous.documents || !this._check(previous.documents, documents)) return { snapshot: previous, rejections }
    return { snapshot: new Snapshot(documents), rejections }
  }

  /** Asserts the invariants of the result: no version decreases, and no reference is dangling. */
  private _check (previous: Documents, documents: Documents): boolean {
    let isMonotonic = true
    for (const [service, { version }] of previous) {
      const next = documents.get(service)
      if (next === undefined || next.version < version) isMonotonic = false
    }
    const hasNoDanglingReferences = findDanglingReferences(documents).length === 0
    const isMonotonicConfirmed = this._invariants.check(isMonotonic, 'version-never-lower', 'documents.build')
    return this._invariants.check(hasNoDanglingReferences, 'route-has-resource', 'documents.build') && isMonotonicConfirmed
  }
}

/** Tries the newest candidates first, then older ones of the services whose candidates wait, until no further candidate can be applied. */
function applyInRounds (previous: Documents, queues: Queues): IConsistentSet {
  let documents = previous
  let waiting: ReadonlyMap<ServiceName, string> = new Map()
  let depth = 0
  while (depth < maximumQueueLength(queues)) {
    const chosen = selectCandidates(documents, queues, depth)
    const applied = applyConsistent(documents, chosen)
    if (depth === 0) waiting = applied.waiting
    // An applied version may provide the resource for which a newer candidate of another service waits.
    depth = applied.documents === documents ? depth + 1 : 0
    documents = applied.documents
  }
  return { documents, waiting }
}

function maximumQueueLength (queues: Queues): number {
  let length = 0
  for (const queue of queues.values()) length = Math.max(length, queue.length)
  return length
}

/** The candidate at `depth` of each service, unless the version of the service is at least as new. */
function selectCandidates (documents: Documents, queues: Queues, depth: number): IActiveDocument[] {
  const chosen: IActiveDocument[] = []
  for (const [service, queue] of queues) {
    const candidate = queue[depth]
    const current = documents.get(service)?.version ?? 0
    if (candidate !== undefined && candidate.version > current) chosen.push(candidate)
  }
  return chosen
}

/** Applies all of `chosen`, then reverts candidates with dangling references until none is left. */
function applyConsistent (previous: Documents, chosen: readonly IActiveDocument[]): IConsistentSet {
  const waiting = new Map<ServiceName, string>()
  if (chosen.length === 0) return { documents: previous, waiting }
  const documents = new Map(previous)
  const applied = new Set<ServiceName>()
  for (const candidate of chosen) {
    documents.set(candidate.service, candidate)
    applied.add(candidate.service)
  }
  let dangling = findDanglingReferences(documents)
  while (dangling.length > 0) {
    const before = applied.size
    for (const { from, to, reason } of dangling) {
      // The referring document is already active, so the candidate that would remove its resource waits.
      const reverted = applied.has(from) ? from : to
      if (!applied.delete(reverted)) continue
      waiting.set(reverted, reason)
      restore(documents, previous, reverted)
    }
    // No candidate is left to revert: the previous snapshot already had a dangling reference, which no build produces.
    if (applied.size === before) break
    dangling = findDanglingReferences(documents)
  }
  return { documents: applied.size === 0 ? previous : documents, waiting }
}

function restore (documents: Map<ServiceName, IActiveDocument>, previous: Documents, service: ServiceName): void {
  const before = previous.get(service)
  if (before === undefined) documents.delete(service)
  else documents.set(service, before)
}

/** One rejection for each candidate that is newer than the active version. */
function describeWaiting (documents: Documents, queues: Queues, waiting: ReadonlyMap<ServiceName, string>): IRejection[] {
  const rejections: IRejection[] = []
  for (const [service, queue] of queues) {
    const current = documents.get(service)?.version ?? 0
    for (const { version, hash, isTombstone } of queue) {
      if (version <= current) continue
      const reason = waiting.get(service) ?? 'waits for other documents'
      rejections.push({ entry: { service, version, hash, isTombstone }, reason, isWaiting: true })
    }
  }
  return rejections
}
