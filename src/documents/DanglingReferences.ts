/** Finds references of routes that a set of documents does not resolve. */
import type { ServiceName } from '../common/Types.js'
import { describeReference, providesResource, routeReferences } from './RouteReferences.js'
import type { IActiveDocument } from './Types.js'

/** A reference that cannot be resolved. */
export interface IDanglingReference {
  /** Service whose route makes the reference. */
  readonly from: ServiceName
  /** Service that should provide the resource. */
  readonly to: ServiceName
  readonly reason: string
}

/** Every reference to a resource that is missing, not exported or of another kind. */
export function findDanglingReferences (documents: ReadonlyMap<ServiceName, IActiveDocument>): IDanglingReference[] {
  const dangling: IDanglingReference[] = []
  for (const [from, { document }] of documents) {
    if (document === undefined) continue
    for (const required of routeReferences(document.routes)) {
      const to = required.reference.service
      if (providesResource(documents.get(to)?.document, required, from)) continue
      dangling.push({ from, to, reason: `route ${required.route} of ${from} needs ${describeReference(required)}` })
    }
  }
  return dangling
}
