/** The routes of one configuration in a form that is quick to match. */
import type { IMeshConfiguration, IMeshRoute } from '../Types.js'

const HOST_PORT_PATTERN = /:\d+$/

/** Finds the route with the longest prefix of a path. */
export class RouteIndex {
  /** Routes by prefix, by host. */
  private readonly _hosts = new Map<string, Map<string, IMeshRoute>>()

  constructor (public readonly configuration: IMeshConfiguration) {
    for (const route of configuration.routes) this._add(route)
  }

  /** `host` as a `host` field holds it, `path` with or without a query. Undefined if no route fits. */
  public match (host: string, path: string): IMeshRoute | undefined {
    const routes = this._hosts.get(normalizeHost(host))
    if (routes === undefined) return undefined
    const end = path.indexOf('?')
    let prefix = end < 0 ? path : path.slice(0, end)
    // Prefixes end with a slash, so only the parts of the path that do are looked up.
    for (let slash = prefix.lastIndexOf('/'); slash >= 0; slash = prefix.lastIndexOf('/', slash - 1)) {
      prefix = prefix.slice(0, slash + 1)
      const route = routes.get(prefix)
      if (route !== undefined) return route
      if (slash === 0) break
    }
    return undefined
  }

  private _add (route: IMeshRoute): void {
    const host = normalizeHost(route.host)
    const routes = this._hosts.get(host) ?? new Map<string, IMeshRoute>()
    routes.set(route.prefix, route)
    this._hosts.set(host, routes)
  }
}

/** Lower case, without the port. */
function normalizeHost (host: string): string {
  return host.toLowerCase().replace(HOST_PORT_PATTERN, '')
}
