/** Writes what a collector has collected, at a bounded rate. */
import { addDuration } from '../../common/Ids.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { FailureDomain, Milliseconds, NodeId, Timestamp } from '../../common/Types.js'
import { REPORT_WRITE_FAILED } from '../Events.js'
import type { IBurnMinute } from '../Services.js'
import { reasonOf, withTimeout } from '../Timeouts.js'
import { mergeBurn } from './BurnBuckets.js'
import type { DomainObjects, IStatusContent } from './DomainObjects.js'

/** What the writer needs. */
export interface IDomainWriterOptions {
  readonly self: NodeId
  readonly failureDomain: FailureDomain
  readonly objects: DomainObjects
  readonly clock: IClockService
  readonly log: ILogService
  /** Time that one write may take. */
  readonly timeout: Milliseconds
  /** Time after which an unchanged status is written again, so that the domain is heard. */
  readonly heartbeat: Milliseconds
  /** Time between two writes of burn counts. */
  readonly burnInterval: Milliseconds
}

/** Counts that could not be written wait for the next time, up to this many. */
const MAXIMUM_WAITING_BURN = 20_000

/** Called once an interval by its owner, which bounds the rate. */
export class DomainWriter {
  private readonly _options: IDomainWriterOptions
  private _written: string | undefined
  private _nextHeartbeatAt = 0 as Timestamp
  private _nextBurnAt = 0 as Timestamp
  private _waitingBurn: readonly IBurnMinute[] = []
  /** Counts whose write was begun under `_burnNumber`; kept apart until it is known to have taken effect. */
  private _burnInWrite: readonly IBurnMinute[] = []
  private _burnNumber = 0

  constructor (options: IDomainWriterOptions) {
    this._options = options
  }

  /** Takes counts to be added. */
  public addBurn (counts: readonly IBurnMinute[], now: Timestamp): void {
    this._waitingBurn = mergeBurn([...this._waitingBurn, ...counts], now).slice(0, MAXIMUM_WAITING_BURN)
  }

  /** Writes the status if it changed or its heartbeat is due, and burn counts if there are any. */
  public async write (status: Omit<IStatusContent, 'writtenAt'>, now: Timestamp): Promise<void> {
    try {
      await this._writeStatus(status, now)
      await this._writeBurn(now)
    } catch (error) {
      const { log, failureDomain } = this._options
      log.log(REPORT_WRITE_FAILED, { step: 'report.write', peer: 'store', failureDomain, reason: reasonOf(error) })
    }
  }

  private async _writeStatus (status: Omit<IStatusContent, 'writtenAt'>, now: Timestamp): Promise<void> {
    const text = JSON.stringify(status)
    if (text === this._written && now < this._nextHeartbeatAt) return
    const { objects, failureDomain, clock, timeout, heartbeat } = this._options
    await withTimeout(clock, objects.writeStatus(failureDomain, { writtenAt: now, ...status }), timeout, 'report.write-status')
    this._written = text
    this._nextHeartbeatAt = addDuration(now, heartbeat)
  }

  /** A write whose answer was lost is repeated under its number, so that nothing is counted twice. */
  private async _writeBurn (now: Timestamp): Promise<void> {
    if (now < this._nextBurnAt) return
    if (this._burnInWrite.length === 0) this._beginBurn(now)
    if (this._burnInWrite.length === 0) return
    const { objects, failureDomain, clock, timeout, self, burnInterval } = this._options
    const call = objects.addBurn(failureDomain, { counts: this._burnInWrite, writer: self, number: this._burnNumber }, now)
    await withTimeout(clock, call, timeout, 'report.write-burn')
    this._burnInWrite = []
    this._nextBurnAt = addDuration(now, burnInterval)
  }

  private _beginBurn (now: Timestamp): void {
    this._burnInWrite = this._waitingBurn
    this._waitingBurn = []
    this._burnNumber = Math.max(this._burnNumber + 1, now)
  }
}
