/** Learns from the outcome of each attempt. */
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

/** Refusals of an endpoint that will refuse the next call as well. */
const PAUSING: ReadonlySet<NotRunReason> = new Set<NotRunReason>(['draining', 'not-ready', 'no-endpoint', 'unreachable'])
/** Refusals of an endpoint without room. */
const FULL: ReadonlySet<NotRunReason> = new Set<NotRunReason>(['overloaded', 'deadline'])

/** One attempt that has ended. */
export interface IAttempt {
  readonly chosen: EndpointStatistics
  readonly outcome: CallOutcome
  readonly sink: AttemptSink
  readonly startedAt: Timestamp
  readonly pool: EndpointPool
  readonly resource: IPoolResource
  readonly now: Timestamp
}

/** What the observer needs. */
export interface IOutcomeObserverOptions {
  readonly detector: OutlierDetector
  readonly log: ILogService
}

/** Updates the statistics of endpoints; ejects outliers. */
export class OutcomeObserver {
  /** Ejections so far. */
  public ejections = 0

  constructor (private readonly _options: IOutcomeObserverOptions) {}

  /** Takes the outcome of one attempt. */
  public observe (attempt: IAttempt): void {
    const { outcome, chosen, sink, now } = attempt
    if (sink.occupancy !== undefined) chosen.reportOccupancy(sink.occupancy.used, now)
    if (outcome.kind === 'not-run') this._observeRefusal(attempt, outcome.reason)
    else if (outcome.kind === 'answered' && outcome.status < FIRST_SERVER_ERROR) this._observeSuccess(attempt)
    else if (outcome.kind === 'answered' || isEndpointsFault(outcome.reason)) this._observeFailure(attempt)
  }

  private _observeRefusal (attempt: IAttempt, reason: NotRunReason): void {
    const { chosen, now } = attempt
    if (PAUSING.has(reason)) chosen.pause(now)
    if (FULL.has(reason)) chosen.reportOccupancy(chosen.endpoint.slots, now)
    if (reason === 'unreachable') this._observeFailure(attempt)
  }

  private _observeSuccess (attempt: IAttempt): void {
    const { chosen, sink, startedAt, now, pool, resource } = attempt
    const latency = (sink.begunAt ?? now) - startedAt
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

/** A caller who left or a limit of the document says nothing about the endpoint. */
function isEndpointsFault (reason: string): boolean {
  return reason !== 'cancelled' && !reason.includes('too large')
}
