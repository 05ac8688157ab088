/** Reads the change log of the store on behalf of a region and distributes new versions to the peers. */
import { Counter } from 'prom-client'
import { addDuration } from '../common/Ids.js'
import type { IClockService, ILogService, IMetricsService, IRandomService, IService } from '../common/Services.js'
import type { ChangeSequence, Milliseconds, ServiceName, Timestamp } from '../common/Types.js'
import { versionsWithText } from '../documents/AcceptedSet.js'
import type { IAcceptedDocuments } from '../documents/Services.js'
import type { IAcceptedChange } from '../documents/Types.js'
import type { IMembershipService, IRoleService } from '../membership/Services.js'
import { SOURCE_RECOVERED, SOURCE_UNAVAILABLE } from './Events.js'
import type { HeldDocuments } from './HeldDocuments.js'
import type { ISnapshotService, ISourceService } from './Services.js'
import { Signal } from './Signal.js'
import { TextReader } from './TextReader.js'
import { backoff, jitter, reasonOf, withTimeout } from './Timeouts.js'

/** Dependencies and settings of `SourceReader`; settings with a default may be omitted. */
export interface ISourceReaderOptions {
  readonly accepted: IAcceptedDocuments
  readonly held: HeldDocuments
  readonly snapshots: ISnapshotService
  readonly roles: IRoleService
  readonly membership: IMembershipService
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly metrics: IMetricsService
  /** Mean time between two reads of the change log; the actual time is random between 0.5 and 1.5 times this value. */
  readonly interval: Milliseconds
  /** Delay after which a reader other than the first one reads a body that has not arrived from a peer. */
  readonly secondReaderDelay: Milliseconds
  /** Timeout of one read from the store. */
  readonly timeout: Milliseconds
  /** Maximum backoff between two attempts while the store fails. */
  readonly maximumBackoff: Milliseconds
  /** Maximum number of changes in one read. */
  readonly batchSize: number
  /** Number of bodies that are read concurrently. */
  readonly concurrency: number
  /** True if the node reads the change log regardless of its role; false if it reads only while it holds the role `source-reader`. */
  readonly ignoresReaderRole: boolean
}

/** Defaults of `SourceReader`. */
export const DEFAULT_SOURCE_READER_OPTIONS = Object.freeze({
  interval: 500 as Milliseconds,
  secondReaderDelay: 1_000 as Milliseconds,
  timeout: 3_000 as Milliseconds,
  maximumBackoff: 2_000 as Milliseconds,
  batchSize: 256,
  concurrency: 8,
  ignoresReaderRole: false
})

type RequiredSourceReaderOptions = Omit<ISourceReaderOptions, keyof typeof DEFAULT_SOURCE_READER_OPTIONS>

/** Change whose body this node lacks, and the time from which the body is read from the store. */
interface IMissingBody {
  readonly change: IAcceptedChange
  readonly dueAt: Timestamp
}

/** Polls only while this node holds the role `source-reader`. Two readers at the same time cost additional reads, nothing else. */
export class SourceReader implements ISourceService, IService {
  private readonly _options: ISourceReaderOptions
  private readonly _texts: TextReader
  private readonly _signal: Signal
  private readonly _polls: Counter
  private readonly _bodies: Counter
  /** Newest change of each service whose body is missing. */
  private readonly _missingBodies = new Map<ServiceName, IMissingBody>()
  private _cursor: ChangeSequence | undefined
  /** True if the last read of the change log returned a full batch, so that further changes may follow. */
  private _hasMore = false
  private _failures = 0
  private _isStopped = false
  private _task: Promise<void> | undefined

  constructor (options: RequiredSourceReaderOptions & Partial<ISourceReaderOptions>) {
    this._options = { ...DEFAULT_SOURCE_READER_OPTIONS, ...options }
    this._texts = new TextReader(this._options)
    this._signal = new Signal(options.clock)
    const registers = [options.metrics.registry]
    this._polls = new Counter({ name: 'savoryknot_source_polls_total', help: 'Reads of the change log, by result. Unit: reads.', labelNames: ['result'], registers })
    this._bodies = new Counter({ name: 'savoryknot_source_bodies_total', help: 'Bodies read from the store. Unit: bodies.', registers })
  }

  public start (): void {
    this._task = this._run()
  }

  public async stop (): Promise<void> {
    this._isStopped = true
    this._signal.notify()
    await this._task
  }

  public recordAccepted (change: IAcceptedChange, text: string, now: Timestamp): void {
    const { service, version, hash, isTombstone } = change
    this._options.snapshots.applyNewer([{ service, version, hash, isTombstone, text }], now)
  }

  private async _run (): Promise<void> {
    while (!this._isStopped) {
      const rank = this._rank()
      if (rank === undefined) this._resetCursor()
      else await this._pollSafely(rank)
      await this._signal.wait(this._pollDelay())
    }
  }

  /** Rank among the readers of the region, 0 for the first; undefined if this node is not a reader. */
  private _rank (): number | undefined {
    if (this._options.ignoresReaderRole) return 0
    const { self } = this._options.membership
    const rank = this._options.roles.holders('source-reader', self.failureDomain).indexOf(self.id)
    return rank < 0 ? undefined : rank
  }

  /** A node that acquires the role again reads the complete accepted set, which is cheaper than a long change log. */
  private _resetCursor (): void {
    this._cursor = undefined
    this._hasMore = false
    this._missingBodies.clear()
  }

  private _pollDelay (): Milliseconds {
    const { random, interval, maximumBackoff } = this._options
    if (this._failures > 0) return backoff(random, this._failures, interval, maximumBackoff)
    if (this._hasMore) return 0 as Milliseconds
    return jitter(random, interval, 0.5)
  }

  private async _pollSafely (rank: number): Promise<void> {
    try {
      await this._poll(rank)
      this._recordSuccess()
    } catch (error) {
      this._recordFailure(error)
    }
  }

  private async _poll (rank: number): Promise<void> {
    const { clock, secondReaderDelay } = this._options
    const changes = await this._readChanges()
    const delay = rank === 0 ? 0 : secondReaderDelay
    for (const change of changes) this._recordMissing(change, addDuration(clock.now(), delay as Milliseconds))
    await this._readDue(clock.now())
  }

  /** Changes since the last poll; at the first poll, the newest change of every service. */
  private async _readChanges (): Promise<readonly IAcceptedChange[]> {
    const { accepted, clock, timeout, batchSize } = this._options
    if (this._cursor === undefined) {
      const set = await withTimeout(clock, accepted.readAll(), timeout, 'source.read-all')
      this._cursor = set.sequence
      this._options.snapshots.applyNewer(versionsWithText(set), clock.now())
      return set.changes
    }
    const changes = await withTimeout(clock, accepted.changesAfter(this._cursor, batchSize), timeout, 'source.changes-after')
    this._cursor = changes.at(-1)?.sequence ?? this._cursor
    this._hasMore = changes.length === batchSize
    return changes
  }

  private _recordMissing (change: IAcceptedChange, dueAt: Timestamp): void {
    if (this._options.held.newestVersion(change.service) >= change.version) return
    const previous = this._missingBodies.get(change.service)
    if (previous === undefined || previous.change.version < change.version) this._missingBodies.set(change.service, { change, dueAt })
  }

  /** Reads the bodies that are due and have not arrived from a peer. */
  private async _readDue (now: Timestamp): Promise<void> {
    this._removeArrived()
    const due = [...this._missingBodies.values()].filter((missing) => missing.dueAt <= now)
    if (due.length === 0) return
    const { texts, error } = await this._texts.read(due.map((missing) => missing.change))
    this._bodies.inc(texts.length)
    this._options.snapshots.applyNewer(texts, this._options.clock.now())
    this._removeArrived()
    if (error !== undefined) throw error
  }

  private _removeArrived (): void {
    for (const [service, { change }] of this._missingBodies) {
      if (this._options.held.newestVersion(service) >= change.version) this._missingBodies.delete(service)
    }
  }

  private _recordSuccess (): void {
    this._polls.inc({ result: 'answered' })
    if (this._failures > 0) this._options.log.log(SOURCE_RECOVERED, { step: 'source.poll', peer: 'store', failures: this._failures })
    this._failures = 0
  }

  /** The next poll reads the complete accepted set, because the change log may have been trimmed meanwhile. */
  private _recordFailure (error: unknown): void {
    this._polls.inc({ result: 'failed' })
    if (this._failures === 0) this._options.log.log(SOURCE_UNAVAILABLE, { step: 'source.poll', peer: 'store', reason: reasonOf(error) })
    this._failures++
    this._cursor = undefined
    this._hasMore = false
  }
}
