/** Route lookup for one configuration. */
import type { IMeshConfiguration, IMeshRoute } from '../Types.js'

const HOST_PORT_PATTERN = /:\d+$/

/** Indexes routes by host and path prefix, and finds the route with the longest prefix that matches a path. */
export class RouteIndex {
  /** For each host, its routes by prefix. */
  private readonly _routesByHost = new Map<string, Map<string, IMeshRoute>>()

  constructor (public readonly configuration: IMeshConfiguration) {
    for (const route of configuration.routes) this._addRoute(route)
  }

  /** `host`: value of a `host` header field; `path`: with or without a query. Returns undefined if no route matches. */
  public match (host: string, path: string): IMeshRoute | undefined {
    const routes = this._routesByHost.get(normalizeHost(host))
    if (routes === undefined) return undefined
    const end = path.indexOf('?')
    let prefix = end < 0 ? path : path.slice(0, end)
    // Route prefixes end with a slash, so only the parts of the path that end with a slash are looked up.
    for (let slash = prefix.lastIndexOf('/'); slash >= 0; slash = prefix.lastIndexOf('/', slash - 1)) {
      prefix = prefix.slice(0, slash + 1)
      const route = routes.get(prefix)
      if (route !== undefined) return route
      if (slash === 0) break
    }
    return undefined
  }

  private _addRoute (route: IMeshRoute): void {
    const host = normalizeHost(route.host)
    const routes = this._routesByHost.get(host) ?? new Map<string, IMeshRoute>()
    routes.set(route.prefix, route)
    this._routesByHost.set(host, routes)
  }
}

/** Returns the host in lower case, without the port. */
function normalizeHost (host: string): string {
  return host.toLowerCase().replace(HOST_PORT_PATTERN, '')
}
