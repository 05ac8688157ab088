/** Routes of one document, compiled for fast matching. */
import type { IActiveDocument, IRoute } from '../documents/Types.js'
import { splitPath } from './PathRules.js'

const ONE_SEGMENT = '*'
const ALL_SEGMENTS = '**'
const ANY_METHOD = '*'

/** Result of a match. */
export type RouteMatch =
  | { readonly kind: 'matched', readonly route: IRoute }
  | { readonly kind: 'no-route' }
  /** The path is malformed or ambiguous. */
  | { readonly kind: 'malformed' }

interface ICompiledRoute {
  readonly route: IRoute
  readonly segments: readonly string[]
  /** True if the pattern ends with `**`, which matches any number of segments. */
  readonly hasWildcardTail: boolean
  readonly result: RouteMatch
}

const NO_ROUTE: RouteMatch = Object.freeze({ kind: 'no-route' })
const MALFORMED: RouteMatch = Object.freeze({ kind: 'malformed' })

/** Matches method and path; the first matching route of the document is used. */
export class RouteTable {
  private static readonly _tables = new WeakMap<IActiveDocument, RouteTable>()
  private readonly _routes: readonly ICompiledRoute[]

  constructor (routes: readonly IRoute[]) {
    this._routes = routes.map(compileRoute)
  }

  /** Returns the table of an active document, compiled once for each version. A tombstone has no routes. */
  public static of (active: IActiveDocument): RouteTable {
    const known = RouteTable._tables.get(active)
    if (known !== undefined) return known
    const table = new RouteTable(active.document?.routes ?? [])
    RouteTable._tables.set(active, table)
    return table
  }

  /** Finds the route of a request; `path` may include a query. */
  public match (method: string, path: string): RouteMatch {
    const segments = splitPath(path)
    if (segments === undefined) return MALFORMED
    for (const compiled of this._routes) {
      if (isMethodMatched(compiled.route.method, method) && isPathMatched(compiled, segments)) return compiled.result
    }
    return NO_ROUTE
  }
}

function compileRoute (route: IRoute): ICompiledRoute {
  const segments = route.path.replace(/^\//, '').split('/')
  const isOpen = segments.at(-1) === ALL_SEGMENTS
  return {
    route,
    segments: isOpen ? segments.slice(0, -1) : segments,
    hasWildcardTail: isOpen,
    result: Object.freeze({ kind: 'matched', route })
  }
}

function isMethodMatched (wanted: string, method: string): boolean {
  return wanted === ANY_METHOD || wanted === method
}

function isPathMatched (compiled: ICompiledRoute, segments: readonly string[]): boolean {
  const wanted = compiled.segments
  if (compiled.hasWildcardTail ? segments.length < wanted.length : segments.length !== wanted.length) return false
  for (let position = 0; position < wanted.length; position++) {
    const pattern = wanted[position] as string
    if (pattern === ONE_SEGMENT ? segments[position] === '' : pattern !== segments[position]) return false
  }
  return true
}
