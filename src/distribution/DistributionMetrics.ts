/** Metrics of the exchange of versions between peers. */
import { Counter } from 'prom-client'
import type { IMetricsService } from '../common/Services.js'
import type { ILocation } from '../common/Types.js'

/** Counters of announcements, pulls and bodies. */
export class DistributionMetrics {
  private readonly _announced: Counter
  private readonly _pulls: Counter
  private readonly _vectors: Counter
  private readonly _bodies: Counter
  private readonly _bodyBytes: Counter
  private readonly _refused: Counter

  constructor (metrics: IMetricsService) {
    const registers = [metrics.registry]
    this._announced = new Counter({ name: 'savoryknot_entries_announced_total', help: 'Version entries announced to peers. Unit: entries.', registers })
    this._pulls = new Counter({ name: 'savoryknot_pulls_served_total', help: 'Pulls answered with a body, by form. Unit: bodies.', labelNames: ['form'], registers })
    this._vectors = new Counter({ name: 'savoryknot_version_vectors_sent_total', help: 'Whole version vectors sent because digests differed. Unit: vectors.', registers })
    const labelNames = ['from_region', 'to_region']
    this._bodies = new Counter({ name: 'savoryknot_bodies_received_total', help: 'Bodies received from peers, by pair of regions. Unit: bodies.', labelNames, registers })
    this._bodyBytes = new Counter({ name: 'savoryknot_body_bytes_received_total', help: 'Compressed bodies received from peers, by pair of regions. Unit: bytes.', labelNames, registers })
    this._refused = new Counter({ name: 'savoryknot_bodies_refused_total', help: 'Bodies that were not asked for or could not be used. Unit: bodies.', registers })
  }

  public recordAnnounced (entries: number): void {
    this._announced.inc(entries)
  }

  public recordPullServed (isDelta: boolean): void {
    this._pulls.inc({ form: isDelta ? 'delta' : 'whole' })
  }

  public recordVectorSent (): void {
    this._vectors.inc()
  }

  public recordBody (from: ILocation, to: ILocation, bytes: number): void {
    const labels = { from_region: from.region, to_region: to.region }
    this._bodies.inc(labels)
    this._bodyBytes.inc(labels, bytes)
  }

  public recordBodyRefused (): void {
    this._refused.inc()
  }
}
