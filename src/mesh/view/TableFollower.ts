/** Follows the changes of one table of the store. */
import { drawEqualJitter } from '../../common/Jitter.js'
import type { IClockService, ILogService, IRandomService } from '../../common/Services.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { HistoryLostError } from '../../platform/PlatformErrors.js'
import type { IChangeFeed } from '../../platform/Services.js'
import type { IChangeBatch, StorePosition, TableName } from '../../platform/Types.js'
import { VIEW_BATCH_READ, VIEW_HISTORY_LOST, VIEW_READING_FAILED, VIEW_READING_RECOVERED } from '../Events.js'
import { AdaptiveReadTimeout } from './AdaptiveReadTimeout.js'

/** Dependencies and options of `TableFollower`. */
export interface ITableFollowerOptions {
  readonly feed: IChangeFeed
  readonly table: TableName
  /** Position up to which all changes are known. It is 0 before the first read, and as long as the store is empty. */
  readonly position: () => StorePosition
  readonly onBatch: (batch: IChangeBatch, now: Timestamp) => void
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  /** Long-poll timeout: the time for which the store is asked to wait for a change. */
  readonly longPollTimeout: Milliseconds
  /** Pause after a change, so that further changes arrive in one response. */
  readonly batchDelay: Milliseconds
  /**
   * Maximum pause after the first read; the pause is random within the upper half. When all nodes start at once, none of them knows which
   * one will read for the others, and each would read the changes of all others.
   */
  readonly initialDelay: Milliseconds
  /** Long-poll timeout of the first read of changes; by then, most nodes follow another one. */
  readonly initialLongPollTimeout: Milliseconds
  /**
   * True if rows are large. The changes of a table contain each state of a row, the complete table only the latest one. So the
   * complete table is read instead of the changes after a start or a failure, and if the last batch had several states of one row.
   */
  readonly shouldSkipSupersededStates: boolean
}

/** Bounds of the exponential backoff after failures; each pause is random within the upper half of its bound. */
const MINIMUM_BACKOFF_MS = 150
const MAXIMUM_BACKOFF_MS = 1_500
const NO_WAIT = 0 as Milliseconds

/**
 * `initial`: until the first response of this process. `after-initial`: until the next one. `restarted`: until the first response after the
 * follower was stopped and started again, or started with rows from another node; this read has no long-poll timeout, so that its response
 * confirms the view at once.
 */
type ReadPhase = 'initial' | 'after-initial' | 'restarted' | 'steady'

/** Runs one task that reads batches of changes and delivers them until it is stopped. */
export class TableFollower {
  /** Number of the active run; the task of an earlier run ends at its next step. */
  private _currentRun = 0
  private _isRunning = false
  private _phase: ReadPhase = 'initial'
  /** Long-poll timeout of the read in progress. */
  private _requestedWait = NO_WAIT
  /** True if the last batch contained several states of one row. */
  private _hadSupersededStates = false
  private _failures = 0
  /** Time until which the last response counts as current; 0 if there is none. */
  private _currentUntil = 0
  private _confirmedAt = 0 as Timestamp
  private readonly _readTimeout = new AdaptiveReadTimeout()

  constructor (private readonly _options: ITableFollowerOptions) {}

  public get isRunning (): boolean {
    return this._isRunning
  }

  /** The latest time up to which all changes are known; 0 before the first response. */
  public get confirmedAt (): Timestamp {
    return this._confirmedAt
  }

  /** True while responses arrive in time. */
  public isCurrent (now: Timestamp): boolean {
    return this._isRunning && now < this._currentUntil
  }

  public start (): void {
    if (this._isRunning) return
    this._isRunning = true
    this._failures = 0
    // While this follower was stopped, or before its first response, the rows may have been learnt from another node.
    if (this._phase !== 'initial' || this._options.position() > 0) this._phase = 'restarted'
    this._follow(++this._currentRun).catch((error: unknown) => this._logFailure(error))
  }

  public stop (): void {
    this._isRunning = false
    this._currentUntil = 0
    this._currentRun++
  }

  private async _follow (run: number): Promise<void> {
    while (run === this._currentRun) {
      const pause = await this._readBatch(run)
      if (run !== this._currentRun) return
      if (pause > 0) await this._options.clock.sleep(pause)
    }
  }

  /** Reads and delivers one batch. Returns the pause before the next read. */
  private async _readBatch (run: number): Promise<Milliseconds> {
    const { clock, onBatch } = this._options
    const startedAt = clock.now()
    try {
      const batch = await this._read()
      if (run !== this._currentRun) return NO_WAIT
      const now = clock.now()
      const pause = this._pauseAfter(batch)
      this._recordBatch(batch, startedAt, now, pause)
      onBatch(batch, now)
      return pause
    } catch (error) {
      if (run !== this._currentRun) return NO_WAIT
      this._recordFailure(error)
      return this._backoff()
    }
  }

  /** A read of the complete table is followed by a pause as well; otherwise an empty store would be read in a tight loop. */
  private _pauseAfter ({ isWhole, rows }: IChangeBatch): Milliseconds {
    const { batchDelay, initialDelay, random } = this._options
    if (this._phase === 'initial') return drawEqualJitter(initialDelay, random)
    return isWhole || rows.length > 0 ? batchDelay : NO_WAIT
  }

  private async _read (): Promise<IChangeBatch> {
    const { feed, table, position } = this._options
    const startPosition = position()
    this._requestedWait = NO_WAIT
    if (this._shouldReadCompleteTable) return await feed.readAll(table, this._readTimeout.value)
    this._requestedWait = this._longPollTimeout
    try {
      return await feed.changesAfter(table, startPosition, this._requestedWait, this._readTimeout.value)
    } catch (error) {
      if (!(error instanceof HistoryLostError)) throw error
      this._requestedWait = NO_WAIT
      this._options.log.log(VIEW_HISTORY_LOST, { step: 'view.read', table, position: startPosition })
      return await feed.readAll(table, this._readTimeout.value)
    }
  }

  private get _longPollTimeout (): Milliseconds {
    const { longPollTimeout, initialLongPollTimeout } = this._options
    if (this._phase === 'restarted') return NO_WAIT
    return this._phase === 'after-initial' ? initialLongPollTimeout : longPollTimeout
  }

  private get _shouldReadCompleteTable (): boolean {
    if (this._phase === 'initial') return true
    const { shouldSkipSupersededStates } = this._options
    return shouldSkipSupersededStates && (this._phase === 'restarted' || this._hadSupersededStates || this._failures > 0)
  }

  private _recordBatch (batch: IChangeBatch, startedAt: Timestamp, now: Timestamp, pause: Milliseconds): void {
    const { batchDelay, table, log } = this._options
    const hasRows = batch.rows.length > 0
    const requestedWait = this._requestedWait
    // A response without rows arrives after the requested wait; the remainder is the response time of the store. Responses with
    // rows are not measured: their time includes the transfer of the rows.
    if (!hasRows) this._readTimeout.recordResponse(Math.max(0, now - startedAt - requestedWait) as Milliseconds)
    // A response without rows, sent after the full wait, is complete up to the end of the wait; any other response up to the request.
    const hasWaitedFully = !hasRows && now - startedAt >= requestedWait
    this._confirmedAt = startedAt + (hasWaitedFully ? requestedWait : 0) as Timestamp
    this._phase = this._phase === 'initial' ? 'after-initial' : 'steady'
    this._hadSupersededStates = new Set(batch.rows.map((row) => row.key)).size < batch.rows.length
    this._currentUntil = now + this._longPollTimeout + Math.max(batchDelay, pause) + this._readTimeout.value
    if (this._failures > 0) log.log(VIEW_READING_RECOVERED, { step: 'view.read', table, failures: this._failures })
    this._failures = 0
    if (hasRows) {
      log.log(VIEW_BATCH_READ, { step: 'view.read', table, rows: batch.rows.length, position: batch.position, tookMs: now - startedAt })
    }
  }

  private _recordFailure (error: unknown): void {
    this._readTimeout.recordTimeout()
    this._currentUntil = 0
    this._failures++
    if (this._failures === 1) this._logFailure(error)
  }

  private _logFailure (error: unknown): void {
    this._options.log.log(VIEW_READING_FAILED, { step: 'view.read', table: this._options.table, reason: String(error) })
  }

  private _backoff (): Milliseconds {
    const bound = Math.min(MAXIMUM_BACKOFF_MS, MINIMUM_BACKOFF_MS * 2 ** (this._failures - 1))
    return drawEqualJitter(bound, this._options.random)
  }
}
