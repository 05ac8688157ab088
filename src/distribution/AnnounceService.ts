/** Keeps one session for each link of the overlay and passes new versions to all of them. */
import { Disposable } from '../common/Disposable.js'
import type { IClockService, ILogService, IMetricsService, IRandomService, IService } from '../common/Services.js'
import type { NodeId } from '../common/Types.js'
import type { IMembershipService, IOverlayService, IPeerLink, IRoleService } from '../membership/Services.js'
import { BodyServer } from './BodyServer.js'
import { DistributionMetrics } from './DistributionMetrics.js'
import { DocumentSession } from './DocumentSession.js'
import type { HeldDocuments } from './HeldDocuments.js'
import { DEFAULT_PULL_OPTIONS, PullCoordinator } from './PullCoordinator.js'
import { DEFAULT_PULL_DELAY_OPTIONS, PullDelay } from './PullDelay.js'
import type { IAnnounceService, ISnapshotService } from './Services.js'
import { DEFAULT_SESSION_TIMING, type ISessionTiming } from './SessionTiming.js'

/** Dependencies and settings of `AnnounceService`; settings with a default may be omitted. */
export interface IAnnounceServiceOptions {
  readonly overlay: IOverlayService
  readonly membership: IMembershipService
  readonly roles: IRoleService
  readonly held: HeldDocuments
  readonly snapshots: ISnapshotService
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly metrics: IMetricsService
  readonly timing: ISessionTiming
  readonly pull: typeof DEFAULT_PULL_OPTIONS
  readonly pullDelay: typeof DEFAULT_PULL_DELAY_OPTIONS
  /** False to send complete bodies only, never deltas. */
  readonly usesDeltas: boolean
}

/** Defaults of `AnnounceService`. */
export const DEFAULT_ANNOUNCE_OPTIONS = Object.freeze({
  timing: DEFAULT_SESSION_TIMING,
  pull: DEFAULT_PULL_OPTIONS,
  pullDelay: DEFAULT_PULL_DELAY_OPTIONS,
  usesDeltas: true
})

type RequiredAnnounceOptions = Omit<IAnnounceServiceOptions, keyof typeof DEFAULT_ANNOUNCE_OPTIONS>

/** Announces every version once to each peer that is not known to have it. */
export class AnnounceService extends Disposable implements IAnnounceService, IService {
  private readonly _options: IAnnounceServiceOptions
  private readonly _pulls: PullCoordinator
  private readonly _bodies: BodyServer
  private readonly _metrics: DistributionMetrics
  private readonly _pullDelay: PullDelay
  private readonly _sessions = new Map<IPeerLink, DocumentSession>()
  private _isCaughtUp = false

  constructor (options: RequiredAnnounceOptions & Partial<IAnnounceServiceOptions>) {
    super()
    this._options = { ...DEFAULT_ANNOUNCE_OPTIONS, ...options }
    this._metrics = new DistributionMetrics(options.metrics)
    this._bodies = new BodyServer({ held: options.held, usesDeltas: this._options.usesDeltas })
    this._pullDelay = new PullDelay({ membership: options.membership, roles: options.roles, ...this._options.pullDelay })
    const { held, snapshots, clock, log } = options
    this._pulls = this.register(new PullCoordinator({ ...this._options.pull, held, snapshots, clock, log }))
  }

  public get confirmedPeers (): readonly NodeId[] {
    const confirmed = [...this._sessions].filter(([, session]) => session.isConfirmed)
    return confirmed.map(([link]) => link.peer.id)
  }

  public get peerCount (): number {
    return this._sessions.size
  }

  /** Number of bodies that are being pulled. */
  public get pendingPulls (): number {
    return this._pulls.pending
  }

  public start (): void {
    this.register(this._options.held.onAdded((added) => this._announce(added)))
    this.register(this._options.overlay.onLinkOpened((link) => this._openSession(link)))
    for (const link of this._options.overlay.links) this._openSession(link)
  }

  public stop (): void {
    for (const session of this._sessions.values()) session.dispose()
    this._sessions.clear()
    this.dispose()
  }

  public setCaughtUp (isCaughtUp: boolean): void {
    if (this._isCaughtUp === isCaughtUp) return
    this._isCaughtUp = isCaughtUp
    for (const session of this._sessions.values()) session.sendDigest()
  }

  private _announce (added: Parameters<DocumentSession['announce']>[0]): void {
    for (const session of this._sessions.values()) session.announce(added)
  }

  private _openSession (link: IPeerLink): void {
    if (this.isDisposed || this._sessions.has(link)) return
    const session = this._createSession(link)
    this._sessions.set(link, session)
    link.onClosed(() => this._closeSession(link))
    session.run()
  }

  private _closeSession (link: IPeerLink): void {
    this._sessions.get(link)?.dispose()
    this._sessions.delete(link)
  }

  private _createSession (link: IPeerLink): DocumentSession {
    const { membership, held, snapshots, clock, random, log, timing } = this._options
    return new DocumentSession({
      link,
      self: membership.self,
      held,
      snapshots,
      pulls: this._pulls,
      bodies: this._bodies,
      metrics: this._metrics,
      clock,
      random,
      log,
      timing,
      pullDelay: (now) => this._pullDelay.delayFor(link, now),
      isCaughtUp: () => this._isCaughtUp
    })
  }
}
