/** Estimates the service time of requests at the endpoint. */
import type { Milliseconds, RouteName } from '../../common/Types.js'

/** Weight of the newest request in the moving averages. */
const NEWEST_WEIGHT = 0.1
/**
 * Initial estimate of the service time, as a share of the request's objective, for an endpoint that has not run any request yet.
 * Without an estimate the request queue could grow without bound.
 */
const INITIAL_ESTIMATE_OBJECTIVE_SHARE = 0.3
/** Maximum number of routes with an estimate of their own; the route added first is evicted first. */
const MAXIMUM_ROUTES = 1_000

/** Exponential moving averages of the service time, for each route and over all routes. */
export class ServiceTimes {
  private readonly _routes = new Map<RouteName, number>()
  private _overall = 0

  /** Average over all routes; 0 before the first request. */
  public get overall (): Milliseconds {
    return Math.round(this._overall) as Milliseconds
  }

  /** Estimate for a route: its average, else the average over all routes, else a share of `objective` before the first request. */
  public expected (route: RouteName, objective: Milliseconds): Milliseconds {
    const known = this._routes.get(route) ?? this._overall
    return (known > 0 ? known : objective * INITIAL_ESTIMATE_OBJECTIVE_SHARE) as Milliseconds
  }

  /** Records the service time of a finished request. */
  public record (route: RouteName, duration: Milliseconds): void {
    this._overall = movingAverage(this._overall, duration)
    const known = this._routes.get(route)
    if (known === undefined && this._routes.size >= MAXIMUM_ROUTES) this._evictOldest()
    this._routes.set(route, movingAverage(known ?? 0, duration))
  }

  /** Records the time that an unfinished request ran. This lower bound of its service time counts only if it exceeds the estimate. */
  public recordLowerBound (route: RouteName, duration: Milliseconds): void {
    if (duration > (this._routes.get(route) ?? this._overall)) this.record(route, duration)
  }

  private _evictOldest (): void {
    const oldest = this._routes.keys().next().value
    if (oldest !== undefined) this._routes.delete(oldest)
  }
}

function movingAverage (previous: number, newest: number): number {
  return previous === 0 ? newest : previous + NEWEST_WEIGHT * (newest - previous)
}
