/** Looks up routes, pools and limits in the active documents. */
import type { ServiceName, RouteName } from '../common/Types.js'
import type { IPoolResource, IRoute, ISnapshot } from '../documents/Types.js'

/** Limits on the bodies of one route. */
export interface IBodyLimits {
  /** Largest request body in bytes. */
  readonly requestBytes: number
  /** Largest response body in bytes. */
  readonly responseBytes: number
}

/** Limits of a route that references no limit resource. */
export const DEFAULT_BODY_LIMITS: IBodyLimits = Object.freeze({ requestBytes: 67_108_864, responseBytes: 268_435_456 })

/** The route of a service; undefined if it is not in the snapshot. */
export function findRoute (snapshot: ISnapshot, service: ServiceName, route: RouteName): IRoute | undefined {
  return snapshot.documents.get(service)?.document?.routes.find((candidate) => candidate.name === route)
}

/** Pool resource of the endpoints of a service; undefined if the snapshot has none. */
export function findPool (snapshot: ISnapshot, service: ServiceName): IPoolResource | undefined {
  const resources = snapshot.documents.get(service)?.document?.resources
  return resources?.find((resource): resource is IPoolResource => resource.kind === 'pool')
}

/** Limits of a route; `fallback` if the route references no limit resource. */
export function findBodyLimits (snapshot: ISnapshot, service: ServiceName, name: RouteName, fallback: IBodyLimits): IBodyLimits {
  const route = findRoute(snapshot, service, name)
  if (route?.limit === undefined) return fallback
  const limit = snapshot.resource(route.limit)
  return limit?.kind === 'limit' ? limit : fallback
}
