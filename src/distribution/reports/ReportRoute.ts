/** Finds the way to the collectors of the failure domain over the links that exist already. */
import type { NodeId, Timestamp } from '../../common/Types.js'
import type { ReceivedReportBeacon, ReportBeacon } from '../../generated/savoryknot/ReportBeacon.js'
import type { IPeerLink } from '../../membership/Services.js'

/** Collectors remembered at the same time. */
const REMEMBERED_COLLECTORS = 4

/** The way to one collector. */
interface IRoute {
  readonly number: number
  readonly link: IPeerLink
  readonly heardAt: Timestamp
  readonly beacon: ReportBeacon
}

/** The link that brought the newest beacon first is the shortest way to its collector, because beacons are flooded. */
export class ReportRoute {
  private readonly _routes = new Map<NodeId, IRoute>()

  /** Takes a beacon; returns true if it is new and has to be passed on. */
  public receive (beacon: ReceivedReportBeacon, link: IPeerLink, now: Timestamp): boolean {
    const collector = beacon.collector as NodeId
    const known = this._routes.get(collector)
    if (known !== undefined && known.number >= beacon.number) return false
    this._routes.delete(collector)
    this._routes.set(collector, { number: beacon.number, link, heardAt: now, beacon })
    this._forgetOldest()
    return true
  }

  /** Forgets the ways that led over a closed link. Returns true if there were any. */
  public removeLink (link: IPeerLink): boolean {
    let isChanged = false
    for (const [collector, route] of this._routes) {
      if (route.link === link) isChanged = this._routes.delete(collector) || isChanged
    }
    return isChanged
  }

  /** The link towards a collector. */
  public linkTo (collector: NodeId): IPeerLink | undefined {
    return this._routes.get(collector)?.link
  }

  /** The collector whose beacon came last. */
  public get newestCollector (): NodeId | undefined {
    let newest: { readonly collector: NodeId, readonly heardAt: Timestamp } | undefined
    for (const [collector, { heardAt }] of this._routes) {
      if (newest === undefined || heardAt >= newest.heardAt) newest = { collector, heardAt }
    }
    return newest?.collector
  }

  /** Newest beacon of each collector, for a link that has just opened. */
  public get beacons (): readonly ReportBeacon[] {
    return Array.from(this._routes.values(), (route) => route.beacon)
  }

  private _forgetOldest (): void {
    if (this._routes.size <= REMEMBERED_COLLECTORS) return
    const [oldest] = this._routes.keys()
    if (oldest !== undefined) this._routes.delete(oldest)
  }
}
