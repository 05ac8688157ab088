/** Which service each VM runs, and when. */
import type { Moment, Subject } from './Types.js'

/** Time for which a VM may be stated to run a service. */
interface IServicePeriod {
  readonly node: Subject
  readonly service: string
  readonly from: Moment
  until: Moment
}

/** While the service of a VM changes, both services are valid. */
export class ServiceHistory {
  private readonly _periods: IServicePeriod[] = []

  /** Records that the settings of the node name this service; the returned function records that they no longer did. */
  public start (node: Subject, service: string, now: Moment): (now: Moment) => void {
    const period: IServicePeriod = { node, service, from: now, until: Infinity }
    this._periods.push(period)
    return (end) => { period.until = end }
  }

  /** True if the service was valid at any moment of the interval. */
  public isValid (node: Subject, service: string, from: Moment, until: Moment): boolean {
    const overlapping = this._periods.filter((period) => period.from <= until && period.until >= from)
    return overlapping.some((period) => period.node === node && period.service === service)
  }
}
