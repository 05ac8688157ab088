/** Checks the references of a document to its own resources. */
import type { ServiceName } from '../common/Types.js'
import type { IDocumentFault, IRoute } from './Types.js'
import { describeReference, routeReferences } from './RouteReferences.js'

/**
 * One fault for each reference to a resource of the same document that has no section of the required kind.
 * Checks the names of sections instead of the parsed resources, so that a resource with a fault is not also reported as missing.
 */
export function checkOwnReferences (service: ServiceName, routes: readonly IRoute[], sections: ReadonlySet<string>): IDocumentFault[] {
  return routeReferences(routes)
    .filter(({ kind, reference }) => reference.service === service && !sections.has(`${kind}.${reference.resource}`))
    .map((required) => ({ section: `route.${required.route}`, key: required.key, message: `found no ${describeReference(required)} in this document` }))
}
