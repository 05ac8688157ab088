/** The references that the routes of a document make. */
import type { RouteName, ServiceName } from '../common/Types.js'
import type { IResourceReference, IRoute, IServiceDocument, Resource } from './Types.js'

export type ResourceKind = Resource['kind']

/** One reference with the route and key that make it. */
export interface IRouteReference {
  readonly route: RouteName
  readonly key: 'target' | 'retry' | 'limit'
  /** Kind that the resource must have. */
  readonly kind: ResourceKind
  readonly reference: IResourceReference
}

/** All references of the routes, including those to resources of their own document. */
export function routeReferences (routes: readonly IRoute[]): IRouteReference[] {
  const references: IRouteReference[] = []
  for (const { name: route, target, retry, limit } of routes) {
    references.push({ route, key: 'target', kind: 'pool', reference: target })
    if (retry !== undefined) references.push({ route, key: 'retry', kind: 'retry', reference: retry })
    if (limit !== undefined) references.push({ route, key: 'limit', kind: 'limit', reference: limit })
  }
  return references
}

/** Whether `target` contains the required resource and routes of `from` may refer to it. */
export function providesResource (target: IServiceDocument | undefined, required: IRouteReference, from: ServiceName): boolean {
  const resource = target?.resources.find((candidate) => candidate.name === required.reference.resource)
  if (resource === undefined || resource.kind !== required.kind) return false
  return resource.isExported || required.reference.service === from
}

/** Describes a reference in faults and in reasons of rejections. */
export function describeReference (required: IRouteReference): string {
  return `${required.kind} ${required.reference.service}/${required.reference.resource}`
}
