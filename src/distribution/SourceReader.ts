/** Reads the change log of the store on behalf of a region and feeds what is new to the peers. */
import { Counter } from 'prom-client'
import { addDuration } from '../common/Ids.js'
import type { IClockService, ILogService, IMetricsService, IRandomService, IService } from '../common/Services.js'
import type { ChangeSequence, Milliseconds, ServiceName, Timestamp } from '../common/Types.js'
import { textsOf } from '../documents/AcceptedSet.js'
import type { IAcceptedDocuments } from '../documents/Services.js'
import type { IAcceptedChange } from '../documents/Types.js'
import type { IMembershipService, IRoleService } from '../membership/Services.js'
import { SOURCE_RECOVERED, SOURCE_UNAVAILABLE } from './Events.js'
import type { HeldDocuments } from './HeldDocuments.js'
import type { ISnapshotService, ISourceService } from './Services.js'
import { Signal } from './Signal.js'
import { TextReader } from './TextReader.js'
import { backoff, jitter, reasonOf, withTimeout } from './Timeouts.js'

/** Options of `SourceReader`; those with defaults may be left out. */
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
  /** Time between two reads of the change log; the actual time is drawn from half of it to one and a half. */
  readonly interval: Milliseconds
  /** Time that the second reader leaves to the first one to bring a body. */
  readonly lateAfter: Milliseconds
  /** Time that one read may take. */
  readonly timeout: Milliseconds
  /** Upper bound of the time between two attempts while the store fails. */
  readonly backoffLimit: Milliseconds
  /** Changes read at once. */
  readonly batch: number
  /** Bodies read at the same time. */
  readonly concurrency: number
  /** False for nodes that read by role only; true for each node to read by itself. */
  readonly readsAlways: boolean
}

/** Defaults of `SourceReader`. */
export const DEFAULT_SOURCE_READER_OPTIONS = Object.freeze({
  interval: 500 as Milliseconds,
  lateAfter: 1_000 as Milliseconds,
  timeout: 3_000 as Milliseconds,
  backoffLimit: 2_000 as Milliseconds,
  batch: 256,
  concurrency: 8,
  readsAlways: false
})

type RequiredSourceReaderOptions = Omit<ISourceReaderOptions, keyof typeof DEFAULT_SOURCE_READER_OPTIONS>

/** A change whose body has not arrived yet. */
interface IMissingBody {
  readonly change: IAcceptedChange
  readonly dueAt: Timestamp
}

/** Polls only while this node holds the role. Two readers at once only read twice. */
export class SourceReader implements ISourceService, IService {
  private readonly _options: ISourceReaderOptions
  private readonly _texts: TextReader
  private readonly _signal: Signal
  private readonly _polls: Counter
  private readonly _bodies: Counter
  /** Newest change without a body, one a service. */
  private readonly _missing = new Map<ServiceName, IMissingBody>()
  private _cursor: ChangeSequence | undefined
  /** True if the last read of the change log was cut off by its limit. */
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
    this._options.snapshots.offer([{ service, version, hash, isTombstone, text }], now)
  }

  private async _run (): Promise<void> {
    while (!this._isStopped) {
      const rank = this._rank()
      if (rank === undefined) this._forgetLog()
      else await this._pollSafely(rank)
      await this._signal.wait(this._pause())
    }
  }

  /** Place among the readers of the region; undefined if this node is none. */
  private _rank (): number | undefined {
    if (this._options.readsAlways) return 0
    const { self } = this._options.membership
    const rank = this._options.roles.holders('source-reader', self.failureDomain).indexOf(self.id)
    return rank < 0 ? undefined : rank
  }

  /** A node that gets the role again later reads everything anew, which is cheaper than a long log. */
  private _forgetLog (): void {
    this._cursor = undefined
    this._hasMore = false
    this._missing.clear()
  }

  private _pause (): Milliseconds {
    const { random, interval, backoffLimit } = this._options
    if (this._failures > 0) return backoff(random, this._failures, interval, backoffLimit)
    if (this._hasMore) return 0 as Milliseconds
    return jitter(random, interval, 0.5)
  }

  private async _pollSafely (rank: number): Promise<void> {
    try {
      await this._poll(rank)
      this._noteSuccess()
    } catch (error) {
      this._noteFailure(error)
    }
  }

  private async _poll (rank: number): Promise<void> {
    const { clock, lateAfter } = this._options
    const changes = await this._readChanges()
    const delay = rank === 0 ? 0 : lateAfter
    for (const change of changes) this._noteMissing(change, addDuration(clock.now(), delay as Milliseconds))
    await this._readDue(clock.now())
  }

  /** What is new since the last poll; everything at the first one. */
  private async _readChanges (): Promise<readonly IAcceptedChange[]> {
    const { accepted, clock, timeout, batch } = this._options
    if (this._cursor === undefined) {
      const set = await withTimeout(clock, accepted.readAll(), timeout, 'source.read-all')
      this._cursor = set.sequence
      this._options.snapshots.offer(textsOf(set), clock.now())
      return set.changes
    }
    const changes = await withTimeout(clock, accepted.changesAfter(this._cursor, batch), timeout, 'source.changes-after')
    this._cursor = changes.at(-1)?.sequence ?? this._cursor
    this._hasMore = changes.length === batch
    return changes
  }

  private _noteMissing (change: IAcceptedChange, dueAt: Timestamp): void {
    if (this._options.held.newestVersion(change.service) >= change.version) return
    const known = this._missing.get(change.service)
    if (known === undefined || known.change.version < change.version) this._missing.set(change.service, { change, dueAt })
  }

  /** Reads the bodies that no peer has brought in time. */
  private async _readDue (now: Timestamp): Promise<void> {
    this._forgetArrived()
    const due = [...this._missing.values()].filter((missing) => missing.dueAt <= now)
    if (due.length === 0) return
    const { texts, error } = await this._texts.read(due.map((missing) => missing.change))
    this._bodies.inc(texts.length)
    this._options.snapshots.offer(texts, this._options.clock.now())
    this._forgetArrived()
    if (error !== undefined) throw error
  }

  private _forgetArrived (): void {
    for (const [service, { change }] of this._missing) {
      if (this._options.held.newestVersion(service) >= change.version) this._missing.delete(service)
    }
  }

  private _noteSuccess (): void {
    this._polls.inc({ result: 'answered' })
    if (this._failures > 0) this._options.log.log(SOURCE_RECOVERED, { step: 'source.poll', peer: 'store', failures: this._failures })
    this._failures = 0
  }

  /** The next poll reads everything anew, because the log may have been trimmed meanwhile. */
  private _noteFailure (error: unknown): void {
    this._polls.inc({ result: 'failed' })
    if (this._failures === 0) this._options.log.log(SOURCE_UNAVAILABLE, { step: 'source.poll', peer: 'store', reason: reasonOf(error) })
    this._failures++
    this._cursor = undefined
    this._hasMore = false
  }
}
