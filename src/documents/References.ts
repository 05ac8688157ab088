/** The references that the routes of a document make. */
import type { RouteName, ServiceName } from '../common/Types.js'
import type { IResourceReference, IRoute, IServiceDocument, Resource } from './Types.js'

/** Kind of a resource. */
export type ResourceKind = Resource['kind']

/** One reference with the place where it stands. */
export interface IRouteReference {
  readonly route: RouteName
  readonly key: 'target' | 'retry' | 'limit'
  /** Kind that the resource must have. */
  readonly kind: ResourceKind
  readonly reference: IResourceReference
}

/** All references of routes, also those to resources of their own document. */
export function routeReferences (routes: readonly IRoute[]): IRouteReference[] {
  const references: IRouteReference[] = []
  for (const { name: route, target, retry, limit } of routes) {
    references.push({ route, key: 'target', kind: 'pool', reference: target })
    if (retry !== undefined) references.push({ route, key: 'retry', kind: 'retry', reference: retry })
    if (limit !== undefined) references.push({ route, key: 'limit', kind: 'limit', reference: limit })
  }
  return references
}

/** Whether `owner` holds a resource that a route of `from` may refer to. */
export function provides (owner: IServiceDocument | undefined, wanted: IRouteReference, from: ServiceName): boolean {
  const resource = owner?.resources.find((candidate) => candidate.name === wanted.reference.resource)
  if (resource === undefined || resource.kind !== wanted.kind) return false
  return resource.isExported || wanted.reference.service === from
}

/** A reference in words, for faults and reasons. */
export function describeReference (wanted: IRouteReference): string {
  return `${wanted.kind} ${wanted.reference.service}/${wanted.reference.resource}`
}
