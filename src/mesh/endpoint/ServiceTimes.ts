/** How long requests usually take in a slot of the endpoint. */
import type { Milliseconds, RouteName } from '../../common/Types.js'

/** Weight of the newest request in the moving averages. */
const NEWEST_WEIGHT = 0.1
/** Share of its objective that a request is thought to take at an endpoint that has run none: its line must not grow without bound. */
const UNKNOWN_OBJECTIVE_SHARE = 0.3
/** Routes that are remembered; the oldest is forgotten first. */
const MAXIMUM_ROUTES = 1_000

/** Moving averages by route and over all. */
export class ServiceTimes {
  private readonly _routes = new Map<RouteName, number>()
  private _overall = 0

  /** Over all routes; 0 before the first request. */
  public get overall (): Milliseconds {
    return Math.round(this._overall) as Milliseconds
  }

  /** Of one route, or over all where the route is new; before the first request of all, a part of the time that it should take. */
  public expected (route: RouteName, objective: Milliseconds): Milliseconds {
    const known = this._routes.get(route) ?? this._overall
    return (known > 0 ? known : objective * UNKNOWN_OBJECTIVE_SHARE) as Milliseconds
  }

  /** Takes the time of a request that ran to its end. */
  public record (route: RouteName, duration: Milliseconds): void {
    this._overall = average(this._overall, duration)
    const known = this._routes.get(route)
    if (known === undefined && this._routes.size >= MAXIMUM_ROUTES) this._forgetOldest()
    this._routes.set(route, average(known ?? 0, duration))
  }

  /** Takes the time of a request that was given up unfinished. It tells something only if it is above the usual time. */
  public recordAtLeast (route: RouteName, duration: Milliseconds): void {
    if (duration > (this._routes.get(route) ?? this._overall)) this.record(route, duration)
  }

  private _forgetOldest (): void {
    const oldest = this._routes.keys().next().value
    if (oldest !== undefined) this._routes.delete(oldest)
  }
}

function average (before: number, newest: number): number {
  return before === 0 ? newest : before + NEWEST_WEIGHT * (newest - before)
}
