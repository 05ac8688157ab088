/** Updates endpoint statistics after each attempt. */
import type { ILogService } from '../common/Services.js'
import type { Timestamp } from '../common/Types.js'
import type { IPoolResource } from '../documents/Types.js'
import type { CallOutcome, NotRunReason } from '../gate/Types.js'
import type { AttemptSink } from './AttemptSink.js'
import type { EndpointPool } from './EndpointPool.js'
import type { EndpointStatistics } from './EndpointStatistics.js'
import { ENDPOINT_EJECTED } from './Events.js'
import type { OutlierDetector } from './OutlierDetector.js'

const FIRST_SERVER_ERROR = 500

/** Refusals after which the endpoint would probably refuse the next call as well, so that calls are paused. */
const PAUSE_REASONS: ReadonlySet<NotRunReason> = new Set<NotRunReason>(['draining', 'not-ready', 'no-endpoint', 'unreachable'])
/** Refusals of an endpoint without free capacity. */
const OVERLOAD_REASONS: ReadonlySet<NotRunReason> = new Set<NotRunReason>(['overloaded', 'deadline'])

/** A finished attempt. */
export interface IAttempt {
  readonly chosen: EndpointStatistics
  readonly outcome: CallOutcome
  readonly sink: AttemptSink
  readonly startedAt: Timestamp
  readonly pool: EndpointPool
  readonly resource: IPoolResource
  readonly now: Timestamp
}

/** Dependencies of `OutcomeObserver`. */
export interface IOutcomeObserverOptions {
  readonly detector: OutlierDetector
  readonly log: ILogService
}

/** Records successes and failures of endpoints, and ejects outliers. */
export class OutcomeObserver {
  /** Ejections so far. */
  public ejections = 0

  constructor (private readonly _options: IOutcomeObserverOptions) {}

  /** Records the outcome of one attempt. */
  public observe (attempt: IAttempt): void {
    const { outcome, chosen, sink, now } = attempt
    if (sink.occupancy !== undefined) chosen.reportOccupancy(sink.occupancy.used, now)
    if (outcome.kind === 'not-run') this._observeRefusal(attempt, outcome.reason)
    else if (outcome.kind === 'answered' && outcome.status < FIRST_SERVER_ERROR) this._observeSuccess(attempt)
    else if (outcome.kind === 'answered' || isEndpointFailure(outcome.reason)) this._observeFailure(attempt)
  }

  private _observeRefusal (attempt: IAttempt, reason: NotRunReason): void {
    const { chosen, now } = attempt
    if (PAUSE_REASONS.has(reason)) chosen.pause(now)
    if (OVERLOAD_REASONS.has(reason)) chosen.reportOccupancy(chosen.endpoint.slots, now)
    if (reason === 'unreachable') this._observeFailure(attempt)
  }

  private _observeSuccess (attempt: IAttempt): void {
    const { chosen, sink, startedAt, now, pool, resource } = attempt
    const latency = (sink.responseStartedAt ?? now) - startedAt
    const isEjected = this._options.detector.recordSuccess(chosen, latency, pool.all, resource.ejectionCeiling, now)
    if (isEjected) this._logEjection(chosen, now, 'slow')
  }

  private _observeFailure (attempt: IAttempt): void {
    const { chosen, now, pool, resource } = attempt
    const isEjected = this._options.detector.recordFailure(chosen, pool.all, resource.ejectionCeiling, now)
    if (isEjected) this._logEjection(chosen, now, 'failing')
  }

  private _logEjection (chosen: EndpointStatistics, now: Timestamp, cause: string): void {
    this.ejections++
    const { endpoint } = chosen
    this._options.log.log(ENDPOINT_EJECTED, {
      step: 'router.observe', peer: endpoint.gateAddress, service: endpoint.service, endpoint: endpoint.id, cause, forMs: Math.round(chosen.ejectedUntil - now)
    })
  }
}

/**
 * Returns whether the endpoint caused an unknown outcome; a disconnected caller or an exceeded size limit is no failure
 * of the endpoint.
 */
function isEndpointFailure (reason: string): boolean {
  return reason !== 'cancelled' && !reason.includes('too large')
}
