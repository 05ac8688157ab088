/** Follows the changes of one table of the store. */
import { drawUpperHalf } from '../../common/Jitter.js'
import type { IClockService, ILogService, IRandomService } from '../../common/Services.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { HistoryLostError } from '../../platform/PlatformErrors.js'
import type { IChangeFeed } from '../../platform/Services.js'
import type { IChangeBatch, StorePosition, TableName } from '../../platform/Types.js'
import { VIEW_BATCH_READ, VIEW_HISTORY_LOST, VIEW_READING_FAILED, VIEW_READING_RECOVERED } from '../Events.js'
import { ReadingPatience } from './ReadingPatience.js'

/** What a follower needs and how it reads. */
export interface ITableFollowerOptions {
  readonly feed: IChangeFeed
  readonly table: TableName
  /** Everything up to here is known already; 0 to read the whole table first. */
  readonly position: () => StorePosition
  readonly onBatch: (batch: IChangeBatch, now: Timestamp) => void
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  /** Longest time that the store is asked to wait for a change. */
  readonly wait: Milliseconds
  /** Pause after a change, in which further changes gather to one answer. */
  readonly gather: Milliseconds
  /**
   * True if rows are large. The changes of a table hold every state that a row went through, the whole table only the newest:
   * it is read instead of the changes after a pause, and when the states that came were more than one to a row.
   */
  readonly skipsStates: boolean
}

/** First and longest pause after a failure; each is drawn from its upper half. */
const SHORTEST_BACKOFF_MS = 150
const LONGEST_BACKOFF_MS = 1_500
const NO_WAIT = 0 as Milliseconds

/** One task: reads, hands on, waits, until it is stopped. */
export class TableFollower {
  /** Which run of the task holds; an older one ends at its next step. */
  private _run = 0
  private _isRunning = false
  /** True until the first answer of a run, which is asked for at once: it tells that the view is current. */
  private _isFirst = true
  /** True if the last answer held states that later ones in it had replaced. */
  private _isBehind = false
  private _failures = 0
  /** Until then the last answer counts as current; 0 if there is none. */
  private _currentUntil = 0
  private _confirmedAt = 0 as Timestamp
  private readonly _patience = new ReadingPatience()

  constructor (private readonly _options: ITableFollowerOptions) {}

  public get isRunning (): boolean {
    return this._isRunning
  }

  /** The latest moment as of which everything is known; 0 before the first answer. */
  public get confirmedAt (): Timestamp {
    return this._confirmedAt
  }

  /** True while answers come in time. */
  public isCurrent (now: Timestamp): boolean {
    return this._isRunning && now < this._currentUntil
  }

  public start (): void {
    if (this._isRunning) return
    this._isRunning = true
    this._failures = 0
    this._isFirst = true
    this._follow(++this._run).catch((error: unknown) => this._logFailure(error))
  }

  public stop (): void {
    this._isRunning = false
    this._currentUntil = 0
    this._run++
  }

  private async _follow (run: number): Promise<void> {
    const { clock, gather } = this._options
    while (run === this._run) {
      const hadChange = await this._readOnce(run)
      if (run !== this._run) return
      if (hadChange === undefined) await clock.sleep(this._backoff())
      else if (hadChange) await clock.sleep(gather)
    }
  }

  /** Whether there was a change; undefined after a failure. */
  private async _readOnce (run: number): Promise<boolean | undefined> {
    const { clock, onBatch } = this._options
    const startedAt = clock.now()
    try {
      const batch = await this._read()
      if (run !== this._run) return false
      const now = clock.now()
      this._noteAnswer(batch, startedAt, now)
      onBatch(batch, now)
      // A whole reading is followed by a pause as well, or an empty store would be read without end.
      return batch.isWhole || batch.rows.length > 0
    } catch (error) {
      if (run !== this._run) return false
      this._noteFailure(error)
      return undefined
    }
  }

  private async _read (): Promise<IChangeBatch> {
    const { feed, table, position, wait } = this._options
    const from = position()
    if (from === 0 || this._isWholeCheaper) return await feed.readAll(table, this._patience.value)
    try {
      return await feed.changesAfter(table, from, this._isFirst ? NO_WAIT : wait, this._patience.value)
    } catch (error) {
      if (!(error instanceof HistoryLostError)) throw error
      this._options.log.log(VIEW_HISTORY_LOST, { step: 'view.read', table, position: from })
      return await feed.readAll(table, this._patience.value)
    }
  }

  private get _isWholeCheaper (): boolean {
    return this._options.skipsStates && (this._isFirst || this._isBehind || this._failures > 0)
  }

  private _noteAnswer (batch: IChangeBatch, startedAt: Timestamp, now: Timestamp): void {
    const { wait, gather, table, log } = this._options
    const hasRows = batch.rows.length > 0
    // An answer without a change came after the wait; the rest of its time is what the store took. That of rows is their way here.
    const asked = !batch.isWhole && !this._isFirst ? wait : 0
    if (!hasRows) this._patience.recordAnswer(Math.max(0, now - startedAt - asked) as Milliseconds)
    // A store that answers without rows after the wait tells what it knew then, any other answer what it knew when it was asked.
    const hasWaited = !hasRows && now - startedAt >= asked
    this._confirmedAt = startedAt + (hasWaited ? asked : 0) as Timestamp
    this._isFirst = false
    this._isBehind = new Set(batch.rows.map((row) => row.key)).size < batch.rows.length
    this._currentUntil = now + wait + gather + this._patience.value
    if (this._failures > 0) log.log(VIEW_READING_RECOVERED, { step: 'view.read', table, failures: this._failures })
    this._failures = 0
    if (hasRows) {
      log.log(VIEW_BATCH_READ, { step: 'view.read', table, rows: batch.rows.length, position: batch.position, tookMs: now - startedAt })
    }
  }

  private _noteFailure (error: unknown): void {
    this._patience.recordTimeout()
    this._currentUntil = 0
    this._failures++
    if (this._failures === 1) this._logFailure(error)
  }

  private _logFailure (error: unknown): void {
    this._options.log.log(VIEW_READING_FAILED, { step: 'view.read', table: this._options.table, reason: String(error) })
  }

  private _backoff (): Milliseconds {
    const bound = Math.min(LONGEST_BACKOFF_MS, SHORTEST_BACKOFF_MS * 2 ** (this._failures - 1))
    return drawUpperHalf(bound, this._options.random)
  }
}
