/** Routes to the collectors of the failure domain over the existing links. */
import type { NodeId, Timestamp } from '../../common/Types.js'
import type { ReceivedReportBeacon, ReportBeacon } from '../../generated/savoryknot/ReportBeacon.js'
import type { IPeerLink } from '../../membership/Services.js'

/** Maximum number of collectors with a stored route. */
const MAXIMUM_COLLECTORS = 4

/** Route to one collector, learned from its newest beacon. */
interface ICollectorRoute {
  readonly number: number
  readonly link: IPeerLink
  readonly receivedAt: Timestamp
  readonly beacon: ReportBeacon
}

/** Beacons are flooded, so the link that delivered the newest beacon first is the shortest route to its collector. */
export class CollectorRoutes {
  private readonly _routes = new Map<NodeId, ICollectorRoute>()

  /** Handles a beacon; returns true if it is new and must be forwarded. */
  public receive (beacon: ReceivedReportBeacon, link: IPeerLink, now: Timestamp): boolean {
    const collector = beacon.collector as NodeId
    const previous = this._routes.get(collector)
    if (previous !== undefined && previous.number >= beacon.number) return false
    this._routes.delete(collector)
    this._routes.set(collector, { number: beacon.number, link, receivedAt: now, beacon })
    this._removeOldest()
    return true
  }

  /** Removes the routes over a closed link. Returns true if there were any. */
  public removeLink (link: IPeerLink): boolean {
    let isChanged = false
    for (const [collector, route] of this._routes) {
      if (route.link === link) isChanged = this._routes.delete(collector) || isChanged
    }
    return isChanged
  }

  /** The link towards a collector; undefined if no route is known. */
  public linkTo (collector: NodeId): IPeerLink | undefined {
    return this._routes.get(collector)?.link
  }

  /** The collector whose beacon was received last. */
  public get newestCollector (): NodeId | undefined {
    let newest: { readonly collector: NodeId, readonly receivedAt: Timestamp } | undefined
    for (const [collector, { receivedAt }] of this._routes) {
      if (newest === undefined || receivedAt >= newest.receivedAt) newest = { collector, receivedAt }
    }
    return newest?.collector
  }

  /** Newest beacon of each collector, to be sent over a newly opened link. */
  public get beacons (): readonly ReportBeacon[] {
    return Array.from(this._routes.values(), (route) => route.beacon)
  }

  private _removeOldest (): void {
    if (this._routes.size <= MAXIMUM_COLLECTORS) return
    const [oldest] = this._routes.keys()
    if (oldest !== undefined) this._routes.delete(oldest)
  }
}
