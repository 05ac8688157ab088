/** Counts and logs violations of invariants. */
import { Counter } from 'prom-client'
import { INVARIANT_BREACHED } from './Events.js'
import type { IInvariantService, ILogService, IMetricsService, InvariantName } from './Services.js'

/** Dependencies of the invariant service. */
export interface IInvariantServiceOptions {
  readonly log: ILogService
  readonly metrics: IMetricsService
}

/** Checks invariants in production as well; a violation is logged with its step and peer. */
export class InvariantService implements IInvariantService {
  private readonly _log: ILogService
  private readonly _counter: Counter
  private _breaches = 0

  constructor (options: IInvariantServiceOptions) {
    this._log = options.log
    this._counter = new Counter({
      name: 'savoryknot_invariant_breaches_total',
      help: 'Breaches of an invariant, by invariant. Unit: breaches.',
      labelNames: ['invariant'],
      registers: [options.metrics.registry]
    })
  }

  public get breaches (): number {
    return this._breaches
  }

  public check (condition: boolean, invariant: InvariantName, step: string, peer?: string): boolean {
    if (condition) return true
    this._breaches++
    this._counter.inc({ invariant })
    this._log.log(INVARIANT_BREACHED, { invariant, step, peer })
    return false
  }
}
