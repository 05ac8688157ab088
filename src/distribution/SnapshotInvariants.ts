/** Checks the invariants of a new snapshot, independently of the code that built it. */
import type { IInvariantService } from '../common/Services.js'
import type { IActiveDocument, IResourceReference, IRoute, ISnapshot, IVersionedText } from '../documents/Types.js'

const STEP = 'snapshot.replace'

/** Checks that no version decreases, that every reference of a route resolves, and that each changed document equals a candidate. */
export class SnapshotInvariants {
  constructor (private readonly _invariants: IInvariantService) {}

  /** Returns false if the snapshot must not be used. */
  public check (previous: ISnapshot, next: ISnapshot, candidates: readonly IVersionedText[]): boolean {
    const isMonotonic = this._invariants.check(hasNoLowerVersion(previous, next), 'version-never-lower', STEP)
    const isComplete = this._invariants.check(hasOnlyCompleteChanges(previous, next, candidates), 'applied-whole', STEP)
    const isResolved = this._invariants.check(hasAllResources(next), 'route-has-resource', STEP)
    return isMonotonic && isComplete && isResolved
  }
}

/** True if `next` contains every document of `previous` with the same or a higher version. */
function hasNoLowerVersion (previous: ISnapshot, next: ISnapshot): boolean {
  for (const [service, document] of previous.documents) {
    const version = next.documents.get(service)?.version ?? 0
    if (version < document.version) return false
  }
  return true
}

/** True if each document that differs from `previous` equals one of the candidates exactly. */
function hasOnlyCompleteChanges (previous: ISnapshot, next: ISnapshot, candidates: readonly IVersionedText[]): boolean {
  const offered = new Map(candidates.map((candidate) => [candidate.service, candidate]))
  for (const [service, document] of next.documents) {
    if (previous.documents.get(service) === document) continue
    if (isSame(previous.documents.get(service), document)) continue
    if (!isSame(offered.get(service), document)) return false
  }
  return true
}

function isSame (expected: IVersionedText | undefined, document: IActiveDocument): boolean {
  return expected !== undefined && expected.version === document.version &&
    expected.hash === document.hash && expected.text === document.text
}

/** True if every reference of every route resolves to a resource. */
function hasAllResources (snapshot: ISnapshot): boolean {
  for (const { document } of snapshot.documents.values()) {
    if (document === undefined) continue
    for (const reference of referencesOf(document.routes)) {
      if (snapshot.resource(reference) === undefined) return false
    }
  }
  return true
}

/** References of the routes to other resources. */
function referencesOf (routes: readonly IRoute[]): IResourceReference[] {
  const references: IResourceReference[] = []
  for (const route of routes) {
    for (const reference of [route.target, route.retry, route.limit]) {
      if (reference !== undefined) references.push(reference)
    }
  }
  return references
}
