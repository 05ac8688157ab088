/** Brings a starting node up to date before it serves: with the store if it answers, else with several peers. */
import type { IClockService, ILogService, IRandomService, IService } from '../common/Services.js'
import { durationBetween } from '../common/Ids.js'
import type { Milliseconds, Timestamp } from '../common/Types.js'
import { textsOf } from '../documents/AcceptedSet.js'
import type { IAcceptedDocuments, IAcceptedSet } from '../documents/Services.js'
import type { IAcceptedChange } from '../documents/Types.js'
import type { IMembershipService } from '../membership/Services.js'
import { CATCH_UP_COMPLETED, CATCH_UP_WAITING } from './Events.js'
import type { HeldDocuments } from './HeldDocuments.js'
import type { CatchUpSource, IAnnounceService, ICatchUpService, ISnapshotService } from './Services.js'
import { Signal } from './Signal.js'
import { TextReader } from './TextReader.js'
import { backoff, reasonOf, withTimeout } from './Timeouts.js'

/** Options of `CatchUpService`; those with defaults may be left out. */
export interface ICatchUpServiceOptions {
  readonly accepted: IAcceptedDocuments
  readonly held: HeldDocuments
  readonly snapshots: ISnapshotService
  readonly announce: IAnnounceService
  readonly membership: IMembershipService
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  /** Time that one read of the store may take. */
  readonly timeout: Milliseconds
  /** Time without a new body from peers after which bodies are read from the store. */
  readonly bodyPatience: Milliseconds
  /** Peers that must confirm where the store does not answer, or all members if there are fewer. */
  readonly confirmingPeers: number
  /** Time after which one confirming peer is enough. */
  readonly peerPatience: Milliseconds
  /** Time between two looks at what has arrived. */
  readonly pollInterval: Milliseconds
  /** Upper bound of the time between two attempts. */
  readonly backoffLimit: Milliseconds
  /** Bodies read from the store at the same time. */
  readonly concurrency: number
}

/** Defaults of `CatchUpService`. */
export const DEFAULT_CATCH_UP_OPTIONS = Object.freeze({
  timeout: 3_000 as Milliseconds,
  bodyPatience: 1_000 as Milliseconds,
  confirmingPeers: 3,
  peerPatience: 8_000 as Milliseconds,
  pollInterval: 50 as Milliseconds,
  backoffLimit: 2_000 as Milliseconds,
  concurrency: 8
})

type RequiredCatchUpOptions = Omit<ICatchUpServiceOptions, keyof typeof DEFAULT_CATCH_UP_OPTIONS>

/** A node that neither the store nor a peer can confirm does not serve. */
export class CatchUpService implements ICatchUpService, IService {
  public readonly completed: Promise<CatchUpSource>
  private readonly _options: ICatchUpServiceOptions
  private readonly _texts: TextReader
  private readonly _signal: Signal
  private _resolve: (source: CatchUpSource) => void = () => {}
  private _source: CatchUpSource | undefined
  private _loggedReason: string | undefined
  private _isStopped = false
  private _task: Promise<void> | undefined

  constructor (options: RequiredCatchUpOptions & Partial<ICatchUpServiceOptions>) {
    this._options = { ...DEFAULT_CATCH_UP_OPTIONS, ...options }
    this._texts = new TextReader(this._options)
    this._signal = new Signal(options.clock)
    this.completed = new Promise((resolve) => { this._resolve = resolve })
  }

  public get source (): CatchUpSource | undefined {
    return this._source
  }

  /** Begins to catch up; does not wait for the end. */
  public start (): void {
    this._task = this._run(this._options.clock.now())
  }

  public async stop (): Promise<void> {
    this._isStopped = true
    this._signal.notify()
    await this._task
  }

  private async _run (startedAt: Timestamp): Promise<void> {
    for (let failures = 0; !this._isStopped; failures++) {
      const source = await this._catchUpWithStore() ?? this._confirmedByPeers(startedAt)
      if (source !== undefined) return this._complete(source)
      const { random, pollInterval, backoffLimit } = this._options
      await this._signal.wait(backoff(random, failures, pollInterval, backoffLimit))
    }
  }

  private _complete (source: CatchUpSource): void {
    this._source = source
    this._options.announce.setCaughtUp(true)
    const peers = source.kind === 'peers' ? source.peers.join(' ') : ''
    this._options.log.log(CATCH_UP_COMPLETED, { step: 'catch-up.complete', source: source.kind, peers, services: this._options.held.size })
    this._resolve(source)
  }

  /** Undefined if the store does not give all that is needed. */
  private async _catchUpWithStore (): Promise<CatchUpSource | undefined> {
    try {
      const { accepted, clock, timeout } = this._options
      const set = await withTimeout(clock, accepted.readAll(), timeout, 'catch-up.read-all')
      this._options.snapshots.offer(textsOf(set), clock.now())
      await this._awaitPeers(set)
      await this._readRest(set)
      return this._lacking(set).length === 0 ? { kind: 'store' } : undefined
    } catch (error) {
      this._noteStoreFailure(reasonOf(error))
      return undefined
    }
  }

  /** Logs a reason once until it changes. */
  private _noteStoreFailure (reason: string): void {
    if (reason === this._loggedReason) return
    this._loggedReason = reason
    this._options.log.log(CATCH_UP_WAITING, { step: 'catch-up.store', peer: 'store', reason })
  }

  /** Leaves the bodies to the peers for as long as they bring some, so that a herd does not load the store. */
  private async _awaitPeers (set: IAcceptedSet): Promise<void> {
    const { clock, announce, pollInterval, bodyPatience } = this._options
    let lacking = this._lacking(set).length
    let progressAt = clock.now()
    while (lacking > 0 && announce.peerCount > 0 && !this._isStopped) {
      await this._signal.wait(pollInterval)
      const now = clock.now()
      const remaining = this._lacking(set).length
      if (remaining < lacking) progressAt = now
      lacking = remaining
      if (durationBetween(progressAt, now) >= bodyPatience) return
    }
  }

  private async _readRest (set: IAcceptedSet): Promise<void> {
    const lacking = this._lacking(set)
    if (lacking.length === 0 || this._isStopped) return
    const { texts, error } = await this._texts.read(lacking)
    this._options.snapshots.offer(texts, this._options.clock.now())
    if (error !== undefined) throw error
  }

  private _lacking (set: IAcceptedSet): readonly IAcceptedChange[] {
    return set.changes.filter((change) => this._options.held.newestVersion(change.service) < change.version)
  }

  private _confirmedByPeers (startedAt: Timestamp): CatchUpSource | undefined {
    const { announce, clock, peerPatience } = this._options
    const peers = announce.confirmedPeers
    const isPatienceOver = durationBetween(startedAt, clock.now()) >= peerPatience
    const needed = isPatienceOver ? 1 : this._neededPeers()
    return peers.length >= needed ? { kind: 'peers', peers } : undefined
  }

  private _neededPeers (): number {
    const { membership, confirmingPeers } = this._options
    let others = 0
    for (const member of membership.members.values()) {
      if (member.state === 'alive' && member.id !== membership.self.id) others++
    }
    return Math.max(1, Math.min(confirmingPeers, others))
  }
}
