/** Gauges of the member view. */
import { Gauge } from 'prom-client'
import { toDisposable } from '../common/Disposable.js'
import type { IMetricsService } from '../common/Services.js'
import type { IDisposable } from '../common/Types.js'
import type { MembershipService } from './MembershipService.js'

const MEMBERS_METRIC = 'savoryknot_members'
const DOMAINS_METRIC = 'savoryknot_unreachable_failure_domains'
const ISOLATED_METRIC = 'savoryknot_isolated'

/** Computes the gauges when the metrics are collected, not when records change. */
export class MembershipMetrics implements IDisposable {
  private readonly _registration: IDisposable

  constructor (view: MembershipService, metrics: IMetricsService) {
    const registers = [metrics.registry]
    const members: Gauge = new Gauge({
      name: MEMBERS_METRIC,
      help: 'Members by state. Unit: nodes.',
      labelNames: ['state'],
      registers,
      collect: () => {
        members.reset()
        for (const { state } of view.members.values()) members.inc({ state })
      }
    })
    const domains: Gauge = new Gauge({
      name: DOMAINS_METRIC,
      help: 'Failure domains that no gateway of this one hears. Unit: failure domains.',
      registers,
      collect: () => { domains.set(countUnreachable(view)) }
    })
    const isolated: Gauge = new Gauge({
      name: ISOLATED_METRIC,
      help: 'Whether this node has no link to any other. Unit: 1 if it has none, else 0.',
      registers,
      collect: () => { isolated.set(view.isIsolated ? 1 : 0) }
    })
    this._registration = toDisposable(() => {
      for (const name of [MEMBERS_METRIC, DOMAINS_METRIC, ISOLATED_METRIC]) metrics.registry.removeSingleMetric(name)
    })
  }

  public dispose (): void {
    this._registration.dispose()
  }
}

function countUnreachable (view: MembershipService): number {
  return [...view.reachability.domains].filter((domain) => !domain.isReachable).length
}
