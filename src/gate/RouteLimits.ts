/** What the document in force says about a route, as the gate needs it. */
import type { ServiceName, RouteName } from '../common/Types.js'
import type { IPoolResource, IRoute, ISnapshot } from '../documents/Types.js'

/** Limits on the bodies of one route. */
export interface IBodyLimits {
  /** Largest request body in bytes. */
  readonly requestBytes: number
  /** Largest answer body in bytes. */
  readonly responseBytes: number
}

/** Limits of a route that names none. */
export const DEFAULT_BODY_LIMITS: IBodyLimits = Object.freeze({ requestBytes: 67_108_864, responseBytes: 268_435_456 })

/** The route of a service; undefined if the snapshot lacks it. */
export function findRoute (snapshot: ISnapshot, service: ServiceName, route: RouteName): IRoute | undefined {
  return snapshot.documents.get(service)?.document?.routes.find((candidate) => candidate.name === route)
}

/** The pool by which the endpoints of a service are run; undefined if the snapshot has none. */
export function findPool (snapshot: ISnapshot, service: ServiceName): IPoolResource | undefined {
  const resources = snapshot.documents.get(service)?.document?.resources
  return resources?.find((resource): resource is IPoolResource => resource.kind === 'pool')
}

/** Limits of a route; `fallback` where it names none. */
export function findBodyLimits (snapshot: ISnapshot, service: ServiceName, name: RouteName, fallback: IBodyLimits): IBodyLimits {
  const route = findRoute(snapshot, service, name)
  if (route?.limit === undefined) return fallback
  const limit = snapshot.resource(route.limit)
  return limit?.kind === 'limit' ? limit : fallback
}
