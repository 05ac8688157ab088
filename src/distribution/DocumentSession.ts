/** Exchanges versions with the peer at the other end of one link. */
import { Disposable, toDisposable } from '../common/Disposable.js'
import { addDuration, durationBetween } from '../common/Ids.js'
import type { IClockService, ILogService, IRandomService } from '../common/Services.js'
import type { DocumentVersion, ILocation, Milliseconds, ServiceName, Timestamp } from '../common/Types.js'
import type { IVersionEntry } from '../documents/Types.js'
import type { ReceivedDigest } from '../generated/savoryknot/Digest.js'
import type { PeerMessage, ReceivedPeerMessage } from '../generated/savoryknot/PeerMessage.js'
import type { ReceivedVersionEntry } from '../generated/savoryknot/VersionEntry.js'
import type { IPeerLink } from '../membership/Services.js'
import type { BodyServer } from './BodyServer.js'
import type { DistributionMetrics } from './DistributionMetrics.js'
import { PEER_MESSAGE_MALFORMED, BODY_REFUSED } from './Events.js'
import type { HeldDocuments } from './HeldDocuments.js'
import { DigestComparison } from './DigestComparison.js'
import { MessageQueue } from './MessageQueue.js'
import type { ISessionTiming } from './SessionTiming.js'
import type { PullCoordinator } from './PullCoordinator.js'
import type { IPullSource } from './PullTask.js'
import type { ISnapshotService } from './Services.js'
import { Signal } from './Signal.js'
import { jitter, reasonOf } from './Timeouts.js'
import { decodeDigest, encodeDigest } from './VersionDigest.js'
import { decodeVersionEntry, encodeVersionEntry } from './VersionEntryCodec.js'

/** Maximum number of received messages of one link that wait to be handled. */
const MAXIMUM_QUEUED_MESSAGES = 4_096

/** Dependencies and timing of `DocumentSession`. */
export interface IDocumentSessionOptions {
  readonly link: IPeerLink
  readonly self: ILocation
  readonly held: HeldDocuments
  readonly snapshots: ISnapshotService
  readonly pulls: PullCoordinator
  readonly bodies: BodyServer
  readonly metrics: DistributionMetrics
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly timing: ISessionTiming
  /** Delay before a pull over the link. */
  readonly pullDelay: (now: Timestamp) => Milliseconds
  readonly isCaughtUp: () => boolean
}

/** Announces versions that the peer lacks, pulls versions that this node lacks, and compares digests to find lost announcements. */
export class DocumentSession extends Disposable implements IPullSource {
  private readonly _options: IDocumentSessionOptions
  private readonly _inbox = new MessageQueue<ReceivedPeerMessage>(MAXIMUM_QUEUED_MESSAGES)
  /** Newest version that the peer is known to have, by service. */
  private readonly _peerVersions = new Map<ServiceName, DocumentVersion>()
  private readonly _outbox = new Map<ServiceName, IVersionEntry>()
  private _isFlushDue = false
  private _nextFlushAt = 0 as Timestamp
  private _isOpen = true
  private readonly _digestSignal: Signal
  private readonly _comparison: DigestComparison

  constructor (options: IDocumentSessionOptions) {
    super()
    this._options = options
    this._digestSignal = new Signal(options.clock)
    this._comparison = this.register(new DigestComparison({
      held: options.held,
      clock: options.clock,
      timing: options.timing,
      sendDigest: () => this.sendDigest(),
      sendVector: () => this._sendVector()
    }))
    this.register(options.link.onMessage((message) => { this._inbox.push(message) }))
    this.register(toDisposable(() => this._close()))
  }

  public get name (): string {
    return this._options.link.peer.id
  }

  public get isOpen (): boolean {
    return this._isOpen
  }

  /** True once this node had the same versions as the peer while the peer was caught up. */
  public get isConfirmed (): boolean {
    return this._comparison.isConfirmed
  }

  public send (message: PeerMessage): boolean {
    return this._isOpen && this._options.link.send(message)
  }

  /** Handles messages and compares digests until the link closes. */
  public async run (): Promise<void> {
    const digests = this._exchangeDigests()
    for (;;) {
      const message = await this._inbox.next()
      if (message === undefined) break
      this._handleSafely(message, this._options.clock.now())
    }
    await digests
  }

  /** Announces entries that the peer is not known to have; entries within one batch delay go into one message. */
  public announce (entries: Iterable<IVersionEntry>): void {
    for (const entry of entries) {
      if (this._peerVersion(entry.service) < entry.version) this._outbox.set(entry.service, entry)
    }
    if (this._outbox.size === 0 || this._isFlushDue) return
    const { clock } = this._options
    const wait = durationBetween(clock.now(), this._nextFlushAt)
    if (wait <= 0) return this._flush()
    this._isFlushDue = true
    clock.after(wait, () => this._flush())
  }

  /** Sends the digest of this node's versions to the peer. */
  public sendDigest (): void {
    const { held, isCaughtUp } = this._options
    this.send({ digest: { documents: encodeDigest(held.digest), isCaughtUp: isCaughtUp() } })
  }

  private _flush (): void {
    this._isFlushDue = false
    this._nextFlushAt = addDuration(this._options.clock.now(), this._options.timing.batchDelay)
    const entries = [...this._outbox.values()].filter((entry) => this._peerVersion(entry.service) < entry.version)
    this._outbox.clear()
    if (entries.length === 0) return
    if (this.send({ announce: { entries: entries.map(encodeVersionEntry) } })) this._options.metrics.recordAnnounced(entries.length)
  }

  private async _exchangeDigests (): Promise<void> {
    const { random, timing } = this._options
    while (this._isOpen) {
      this.sendDigest()
      await this._digestSignal.wait(jitter(random, timing.digestInterval, 0.5))
    }
  }

  /** Drops and logs a message that cannot be handled; the session continues. */
  private _handleSafely (message: ReceivedPeerMessage, now: Timestamp): void {
    try {
      this._handle(message, now)
    } catch (error) {
      this._options.log.log(PEER_MESSAGE_MALFORMED, { step: 'session.handle', peer: this.name, reason: reasonOf(error) })
    }
  }

  private _handle (message: ReceivedPeerMessage, now: Timestamp): void {
    if (message.announce) this._receiveEntries(message.announce.entries, now)
    else if (message.pull) this._servePull(message.pull)
    else if (message.body) this._receiveBody(message.body, now)
    else if (message.digest) this._receiveDigest(message.digest, now)
    else if (message.versionVector) this._receiveVector(message.versionVector.entries, now)
  }

  private _receiveEntries (received: readonly ReceivedVersionEntry[], now: Timestamp): void {
    for (const candidate of received) {
      const entry = decodeVersionEntry(candidate)
      if (entry === undefined) this._options.log.log(PEER_MESSAGE_MALFORMED, { step: 'session.entry', peer: this.name })
      else this._receiveEntry(entry, now)
    }
    this._comparison.updateConfirmed()
  }

  private _receiveEntry (entry: IVersionEntry, now: Timestamp): void {
    const { held, pulls, snapshots } = this._options
    if (this._peerVersion(entry.service) < entry.version) this._peerVersions.set(entry.service, entry.version)
    if (entry.version <= held.newestVersion(entry.service)) return
    if (entry.isTombstone) snapshots.applyNewer([{ ...entry, text: '' }], now)
    else pulls.addOffer(entry, this, this._options.pullDelay(now), now)
  }

  /** Replaces what is known about the peer by its complete version vector, and announces the versions that are missing there. */
  private _receiveVector (received: readonly ReceivedVersionEntry[], now: Timestamp): void {
    this._peerVersions.clear()
    this._receiveEntries(received, now)
    this.announce(this._options.held.all)
  }

  private _servePull (pull: NonNullable<ReceivedPeerMessage['pull']>): void {
    const body = this._options.bodies.createBody(pull)
    if (body === undefined || !this.send({ body })) return
    this._options.metrics.recordPullServed(body.baseVersion !== 0)
  }

  private _receiveBody (body: NonNullable<ReceivedPeerMessage['body']>, now: Timestamp): void {
    const { link, self, pulls, metrics, log } = this._options
    metrics.recordBody(link.peer, self, body.content.length)
    if (!pulls.receive(this, body, now)) {
      metrics.recordBodyRefused()
      log.log(BODY_REFUSED, { step: 'session.body', peer: this.name, service: body.entry?.service, reason: 'not requested or not usable' })
    }
    this._comparison.updateConfirmed()
  }

  private _receiveDigest (digest: ReceivedDigest, now: Timestamp): void {
    const value = decodeDigest(digest.documents)
    if (value !== undefined) this._comparison.receive(value, digest.isCaughtUp, now)
  }

  private _sendVector (): void {
    this._options.metrics.recordVectorSent()
    this.send({ versionVector: { entries: Array.from(this._options.held.all, encodeVersionEntry) } })
  }

  private _peerVersion (service: ServiceName): number {
    return this._peerVersions.get(service) ?? 0
  }

  private _close (): void {
    this._isOpen = false
    this._digestSignal.notify()
    this._inbox.close()
    this._options.pulls.handleSourceClosed()
  }
}
