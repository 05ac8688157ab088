/** Brings a starting node up to date before it serves requests: from the store if it responds, otherwise from several peers. */
import type { IClockService, ILogService, IRandomService, IService } from '../common/Services.js'
import { durationBetween } from '../common/Ids.js'
import type { Milliseconds, Timestamp } from '../common/Types.js'
import { versionsWithText } from '../documents/AcceptedSet.js'
import type { IAcceptedDocuments, IAcceptedSet } from '../documents/Services.js'
import type { IAcceptedChange } from '../documents/Types.js'
import type { IMembershipService } from '../membership/Services.js'
import { CATCH_UP_COMPLETED, CATCH_UP_WAITING } from './Events.js'
import type { HeldDocuments } from './HeldDocuments.js'
import type { CatchUpSource, IAnnounceService, ICatchUpService, ISnapshotService } from './Services.js'
import { Signal } from './Signal.js'
import { TextReader } from './TextReader.js'
import { backoff, reasonOf, withTimeout } from './Timeouts.js'

/** Dependencies and settings of `CatchUpService`; settings with a default may be omitted. */
export interface ICatchUpServiceOptions {
  readonly accepted: IAcceptedDocuments
  readonly held: HeldDocuments
  readonly snapshots: ISnapshotService
  readonly announce: IAnnounceService
  readonly membership: IMembershipService
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  /** Timeout of one read from the store. */
  readonly timeout: Milliseconds
  /** Time without a new body from a peer after which the missing bodies are read from the store. */
  readonly peerBodyTimeout: Milliseconds
  /** Number of peers that must confirm the catch-up if the store does not respond, or all members if there are fewer. */
  readonly confirmingPeers: number
  /** Time after the start of the catch-up from which one confirming peer is enough. */
  readonly fullConfirmationTimeout: Milliseconds
  /** Interval at which the missing bodies are counted, and base of the backoff between two attempts. */
  readonly pollInterval: Milliseconds
  /** Maximum backoff between two attempts. */
  readonly maximumBackoff: Milliseconds
  /** Number of bodies that are read from the store concurrently. */
  readonly concurrency: number
}

/** Defaults of `CatchUpService`. */
export const DEFAULT_CATCH_UP_OPTIONS = Object.freeze({
  timeout: 3_000 as Milliseconds,
  peerBodyTimeout: 1_000 as Milliseconds,
  confirmingPeers: 3,
  fullConfirmationTimeout: 8_000 as Milliseconds,
  pollInterval: 50 as Milliseconds,
  maximumBackoff: 2_000 as Milliseconds,
  concurrency: 8
})

type RequiredCatchUpOptions = Omit<ICatchUpServiceOptions, keyof typeof DEFAULT_CATCH_UP_OPTIONS>

/** The node does not serve requests until the store or enough peers have confirmed that it is up to date. */
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

  /** Starts the catch-up without waiting for its completion. */
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
      const { random, pollInterval, maximumBackoff } = this._options
      await this._signal.wait(backoff(random, failures, pollInterval, maximumBackoff))
    }
  }

  private _complete (source: CatchUpSource): void {
    this._source = source
    this._options.announce.setCaughtUp(true)
    const peers = source.kind === 'peers' ? source.peers.join(' ') : ''
    this._options.log.log(CATCH_UP_COMPLETED, { step: 'catch-up.complete', source: source.kind, peers, services: this._options.held.size })
    this._resolve(source)
  }

  /** Returns undefined if the store fails or lacks a required body. */
  private async _catchUpWithStore (): Promise<CatchUpSource | undefined> {
    try {
      const { accepted, clock, timeout } = this._options
      const set = await withTimeout(clock, accepted.readAll(), timeout, 'catch-up.read-all')
      this._options.snapshots.applyNewer(versionsWithText(set), clock.now())
      await this._awaitBodiesFromPeers(set)
      await this._readMissing(set)
      return this._missingChanges(set).length === 0 ? { kind: 'store' } : undefined
    } catch (error) {
      this._logStoreFailure(reasonOf(error))
      return undefined
    }
  }

  /** Logs a reason only if it differs from the previous one. */
  private _logStoreFailure (reason: string): void {
    if (reason === this._loggedReason) return
    this._loggedReason = reason
    this._options.log.log(CATCH_UP_WAITING, { step: 'catch-up.store', peer: 'store', reason })
  }

  /** Waits while bodies keep arriving from peers, so that many nodes that start at once do not overload the store. */
  private async _awaitBodiesFromPeers (set: IAcceptedSet): Promise<void> {
    const { clock, announce, pollInterval, peerBodyTimeout } = this._options
    let missingCount = this._missingChanges(set).length
    let progressAt = clock.now()
    while (missingCount > 0 && announce.peerCount > 0 && !this._isStopped) {
      await this._signal.wait(pollInterval)
      const now = clock.now()
      const remaining = this._missingChanges(set).length
      if (remaining < missingCount) progressAt = now
      missingCount = remaining
      if (durationBetween(progressAt, now) >= peerBodyTimeout) return
    }
  }

  private async _readMissing (set: IAcceptedSet): Promise<void> {
    const missing = this._missingChanges(set)
    if (missing.length === 0 || this._isStopped) return
    const { texts, error } = await this._texts.read(missing)
    this._options.snapshots.applyNewer(texts, this._options.clock.now())
    if (error !== undefined) throw error
  }

  private _missingChanges (set: IAcceptedSet): readonly IAcceptedChange[] {
    return set.changes.filter((change) => this._options.held.newestVersion(change.service) < change.version)
  }

  private _confirmedByPeers (startedAt: Timestamp): CatchUpSource | undefined {
    const { announce, clock, fullConfirmationTimeout } = this._options
    const peers = announce.confirmedPeers
    const hasTimedOut = durationBetween(startedAt, clock.now()) >= fullConfirmationTimeout
    const required = hasTimedOut ? 1 : this._requiredPeerCount()
    return peers.length >= required ? { kind: 'peers', peers } : undefined
  }

  private _requiredPeerCount (): number {
    const { membership, confirmingPeers } = this._options
    let others = 0
    for (const member of membership.members.values()) {
      if (member.state === 'alive' && member.id !== membership.self.id) others++
    }
    return Math.max(1, Math.min(confirmingPeers, others))
  }
}
