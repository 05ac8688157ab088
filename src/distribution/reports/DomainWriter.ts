/** Writes the status and the burn counts of a failure domain at a bounded rate. */
import { addDuration } from '../../common/Ids.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { FailureDomain, Milliseconds, NodeId, Timestamp } from '../../common/Types.js'
import { REPORT_WRITE_FAILED } from '../Events.js'
import type { IBurnMinute } from '../Services.js'
import { reasonOf, withTimeout } from '../Timeouts.js'
import { mergeBurn } from './BurnBuckets.js'
import type { DomainObjects, IStatusContent } from './DomainObjects.js'

/** Dependencies and intervals of `DomainWriter`. */
export interface IDomainWriterOptions {
  readonly self: NodeId
  readonly failureDomain: FailureDomain
  readonly objects: DomainObjects
  readonly clock: IClockService
  readonly log: ILogService
  /** Timeout of one write. */
  readonly timeout: Milliseconds
  /** Time after which an unchanged status is written again, so that readers do not regard it as too old. */
  readonly heartbeat: Milliseconds
  /** Minimum time between two writes of burn counts. */
  readonly burnInterval: Milliseconds
}

/** Maximum number of burn counts that wait for the next write. */
const MAXIMUM_PENDING_BURN_COUNTS = 20_000

/** The owner calls `write` once per interval, which bounds the rate of writes. */
export class DomainWriter {
  private readonly _options: IDomainWriterOptions
  private _lastStatus: string | undefined
  private _nextHeartbeatAt = 0 as Timestamp
  private _nextBurnAt = 0 as Timestamp
  private _pendingBurn: readonly IBurnMinute[] = []
  /** Counts of the write with the number `_burnNumber`; kept separately until this write is known to have taken effect. */
  private _burnInWrite: readonly IBurnMinute[] = []
  private _burnNumber = 0

  constructor (options: IDomainWriterOptions) {
    this._options = options
  }

  /** Adds counts to the next write. */
  public addBurn (counts: readonly IBurnMinute[], now: Timestamp): void {
    this._pendingBurn = mergeBurn([...this._pendingBurn, ...counts], now).slice(0, MAXIMUM_PENDING_BURN_COUNTS)
  }

  /** Writes the status if it has changed or its heartbeat is due, and the pending burn counts if their interval has passed. */
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
    if (text === this._lastStatus && now < this._nextHeartbeatAt) return
    const { objects, failureDomain, clock, timeout, heartbeat } = this._options
    await withTimeout(clock, objects.writeStatus(failureDomain, { writtenAt: now, ...status }), timeout, 'report.write-status')
    this._lastStatus = text
    this._nextHeartbeatAt = addDuration(now, heartbeat)
  }

  /** A write whose response was lost is retried with the same number, so that its counts are not added twice. */
  private async _writeBurn (now: Timestamp): Promise<void> {
    if (now < this._nextBurnAt) return
    if (this._burnInWrite.length === 0) this._startBurnWrite(now)
    if (this._burnInWrite.length === 0) return
    const { objects, failureDomain, clock, timeout, self, burnInterval } = this._options
    const call = objects.addBurn(failureDomain, { counts: this._burnInWrite, writer: self, number: this._burnNumber }, now)
    await withTimeout(clock, call, timeout, 'report.write-burn')
    this._burnInWrite = []
    this._nextBurnAt = addDuration(now, burnInterval)
  }

  private _startBurnWrite (now: Timestamp): void {
    this._burnInWrite = this._pendingBurn
    this._pendingBurn = []
    this._burnNumber = Math.max(this._burnNumber + 1, now)
  }
}
