/** Checks the references of a document to its own resources. */
import type { ServiceName } from '../common/Types.js'
import type { IDocumentFault, IRoute } from './Types.js'
import { describeReference, routeReferences } from './References.js'

/**
 * One fault for each reference to an own resource that has no section of its kind.
 * Looks at section names, so that a resource with a fault of its own is not reported twice.
 */
export function checkOwnReferences (service: ServiceName, routes: readonly IRoute[], sections: ReadonlySet<string>): IDocumentFault[] {
  return routeReferences(routes)
    .filter(({ kind, reference }) => reference.service === service && !sections.has(`${kind}.${reference.resource}`))
    .map((wanted) => ({ section: `route.${wanted.route}`, key: wanted.key, message: `found no ${describeReference(wanted)} in this document` }))
}
