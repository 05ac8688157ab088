/** Metrics of the router, kept as plain numbers and exported when they are collected. */
import { Counter } from 'prom-client'
import type { IMetricsService } from '../common/Services.js'
import type { CallOutcome } from '../gate/Types.js'
import type { OutcomeObserver } from './OutcomeObserver.js'

/** Counts calls by outcome, attempts, denied retries and ejections. */
export class RouterMetrics {
  /** Attempts, including the first attempt of each call. */
  public attempts = 0
  /** Retries that the rules allowed but the retry budget denied. */
  public deniedRetries = 0
  private readonly _outcomes = new Map<string, number>()

  constructor (metrics: IMetricsService, observer: OutcomeObserver) {
    const registers = [metrics.registry]
    const outcomes = this._outcomes
    // eslint-disable-next-line no-new
    new Counter({
      name: 'savoryknot_calls_total',
      help: 'Calls routed by this node, by outcome and reason. Unit: calls.',
      labelNames: ['outcome', 'reason'],
      registers,
      collect () {
        this.reset()
        for (const [label, count] of outcomes) {
          const [outcome, reason] = label.split(' ')
          this.inc({ outcome, reason }, count)
        }
      }
    })
    addCounter(registers, 'savoryknot_call_attempts_total', 'Attempts of calls, first attempts included. Unit: attempts.', () => this.attempts)
    addCounter(registers, 'savoryknot_retries_denied_total', 'Retries left out because the budget was spent. Unit: retries.', () => this.deniedRetries)
    addCounter(registers, 'savoryknot_endpoint_ejections_total', 'Ejections of endpoints as outliers. Unit: ejections.', () => observer.ejections)
  }

  /** Counts one call. */
  public count (outcome: CallOutcome): void {
    const label = outcome.kind === 'not-run' ? `not-run ${outcome.reason}` : outcome.kind
    this._outcomes.set(label, (this._outcomes.get(label) ?? 0) + 1)
  }
}

function addCounter (registers: Array<IMetricsService['registry']>, name: string, help: string, read: () => number): void {
  // eslint-disable-next-line no-new
  new Counter({
    name,
    help,
    registers,
    collect () {
      this.reset()
      this.inc(read())
    }
  })
}
