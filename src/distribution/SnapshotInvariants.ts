/** Checks a new snapshot against what must hold, apart from the code that built it. */
import type { IInvariantService } from '../common/Services.js'
import type { IActiveDocument, IResourceReference, IRoute, ISnapshot, IVersionedText } from '../documents/Types.js'

const STEP = 'snapshot.replace'

/** Asserts that no version falls, that no route lacks its resource and that every change is one whole candidate. */
export class SnapshotInvariants {
  constructor (private readonly _invariants: IInvariantService) {}

  /** Returns false if the snapshot must not be used. */
  public check (previous: ISnapshot, next: ISnapshot, candidates: readonly IVersionedText[]): boolean {
    const isMonotonic = this._invariants.check(neverLower(previous, next), 'version-never-lower', STEP)
    const isWhole = this._invariants.check(changedOnlyWhole(previous, next, candidates), 'applied-whole', STEP)
    const isClosed = this._invariants.check(hasAllResources(next), 'route-has-resource', STEP)
    return isMonotonic && isWhole && isClosed
  }
}

/** True if every document of `previous` is in `next` with the same or a higher version. */
function neverLower (previous: ISnapshot, next: ISnapshot): boolean {
  for (const [service, document] of previous.documents) {
    const version = next.documents.get(service)?.version ?? 0
    if (version < document.version) return false
  }
  return true
}

/** True if each document that differs is exactly one of the candidates. */
function changedOnlyWhole (previous: ISnapshot, next: ISnapshot, candidates: readonly IVersionedText[]): boolean {
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

/** True if every reference of every route leads to a resource. */
function hasAllResources (snapshot: ISnapshot): boolean {
  for (const { document } of snapshot.documents.values()) {
    if (document === undefined) continue
    for (const reference of referencesOf(document.routes)) {
      if (snapshot.resource(reference) === undefined) return false
    }
  }
  return true
}

/** All resources that routes need. */
function referencesOf (routes: readonly IRoute[]): IResourceReference[] {
  const references: IResourceReference[] = []
  for (const route of routes) {
    for (const reference of [route.target, route.retry, route.limit]) {
      if (reference !== undefined) references.push(reference)
    }
  }
  return references
}
