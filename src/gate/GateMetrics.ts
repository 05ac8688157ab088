/** Metrics of the gate. */
import { Counter, Gauge, Histogram } from 'prom-client'
import type { IMetricsService } from '../common/Services.js'

const WAIT_BUCKETS_SECONDS = [0.001, 0.005, 0.02, 0.1, 0.5, 2]

/** Counters and gauges. The hot path updates plain numbers, which are read when the metrics are collected. */
export class GateMetrics {
  private readonly _outcomes = new Map<string, { readonly outcome: string, readonly reason: string, count: number }>()
  public readonly crashes: Counter
  public readonly claims: Counter
  public readonly claimTransactions: Counter
  public readonly claimRows: Counter
  public readonly quarantined: Counter
  public readonly queueWait: Histogram

  constructor (private readonly _metrics: IMetricsService) {
    const registers = [_metrics.registry]
    this._registerOutcomes()
    this.crashes = new Counter({ name: 'savoryknot_gate_upstream_crashes_total', help: 'Crashes of upstreams. Unit: crashes.', labelNames: ['service'], registers })
    this.claims = new Counter({ name: 'savoryknot_gate_claims_total', help: 'Claims of at-most-once requests by result. Unit: claims.', labelNames: ['result'], registers })
    this.claimTransactions = new Counter({ name: 'savoryknot_gate_claim_transactions_total', help: 'Transactions that wrote claims. Unit: transactions.', registers })
    this.claimRows = new Counter({ name: 'savoryknot_gate_claim_rows_total', help: 'Rows of claims in those transactions. Unit: rows.', registers })
    this.quarantined = new Counter({ name: 'savoryknot_gate_quarantined_total', help: 'Fingerprints put into quarantine by this node. Unit: fingerprints.', registers })
    this.queueWait = new Histogram({
      name: 'savoryknot_gate_queue_wait_seconds', help: 'Wait for a slot of requests that did not get one at once. Unit: seconds.', buckets: WAIT_BUCKETS_SECONDS, registers
    })
  }

  /** Counts the outcome of one attempt. Runs for every call, so it only increments a plain number. */
  public countOutcome (outcome: string, reason: string): void {
    const entry = this._outcomes.get(outcome + reason)
    if (entry !== undefined) entry.count++
    else this._outcomes.set(outcome + reason, { outcome, reason, count: 1 })
  }

  private _registerOutcomes (): void {
    const counts = this._outcomes
    const counter: Counter = new Counter({
      name: 'savoryknot_gate_outcomes_total',
      help: 'Attempts at the gate by outcome and reason. Unit: attempts.',
      labelNames: ['outcome', 'reason'],
      registers: [this._metrics.registry],
      collect: () => {
        counter.reset()
        for (const { outcome, reason, count } of counts.values()) counter.inc({ outcome, reason }, count)
      }
    })
  }

  /** Registers a gauge that is read when metrics are collected. */
  public gauge (name: string, help: string, labelName: string, read: () => Iterable<readonly [string, number]>): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      labelNames: [labelName],
      registers: [this._metrics.registry],
      collect: () => {
        for (const [label, value] of read()) gauge.set({ [labelName]: label }, value)
      }
    })
  }
}
