/** Anti-entropy: finds and repairs differences between the member views of two peers. */
import { addDuration, durationBetween } from '../common/Ids.js'
import { Disposable } from '../common/Disposable.js'
import { PEER_MESSAGE_INVALID } from './Events.js'
import { bucketOf, MEMBER_BUCKETS } from './MemberDigest.js'
import { fromWireEntry, toWireEntry, type IMemberVersion } from './RecordCodec.js'
import { createRecordMessages } from './RecordMessages.js'
import { isDeadOrLeft, isNewerRecord } from './RecordOrder.js'
import type { IClockService, ILogService, IRandomService } from '../common/Services.js'
import type { IDisposable, Milliseconds, NodeId, Timestamp } from '../common/Types.js'
import type { ReceivedMemberVector } from '../generated/savoryknot/MemberVector.js'
import type { ReceivedPeerMessage } from '../generated/savoryknot/PeerMessage.js'
import type { MembershipService } from './MembershipService.js'
import type { IRecordExchangeSettings } from './Options.js'
import type { OverlayService } from './OverlayService.js'
import type { PeerLink } from './PeerLink.js'
import type { INodeRecord } from './Types.js'

/** Dependencies and settings of RecordComparison. */
export interface IRecordComparisonOptions {
  readonly membership: MembershipService
  readonly overlay: OverlayService
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly settings: IRecordExchangeSettings
}

/** Maximum number of entries and ids in one message; no member view contains more members. */
const MAXIMUM_ENTRIES = 20_000

/**
 * The node that dialled a link sends the digest of its member view. If the peer's digest differs, the peer replies with
 * the digests of all its buckets. The dialling node then sends the versions of the members in the differing buckets, and
 * the peer replies with the records that are newer in its own view and requests those that are older.
 * If the previous digests on the link were equal, only the second differing digest in succession starts a comparison,
 * since views also differ briefly while a change is in flight.
 */
export class RecordComparison extends Disposable {
  /** Links whose most recent digest differed. */
  private readonly _differingLinks = new WeakSet<PeerLink>()
  /** Links over which at least one digest was received. */
  private readonly _comparedLinks = new WeakSet<PeerLink>()
  /** Links whose comparison is postponed until `_nextComparisonAt`. */
  private readonly _postponedLinks = new Set<PeerLink>()
  private _nextComparisonAt = 0 as Timestamp
  private _digestTimer: IDisposable | undefined

  constructor (private readonly _options: IRecordComparisonOptions) {
    super()
    this.register({ dispose: () => this._digestTimer?.dispose() })
  }

  public start (): void {
    this._scheduleDigests()
  }

  /** Compares views as soon as a link opens, as they may have diverged while the nodes were not connected. */
  public addLink (link: PeerLink): void {
    this._sendDigest(link)
  }

  /** Starts a comparison with the digests of all buckets. */
  public sendBucketDigests (link: PeerLink): void {
    link.send({ memberVector: { bucketDigests: this._options.membership.digest.bucketDigests() } })
  }

  public receive (link: PeerLink, message: ReceivedPeerMessage): void {
    if (message.digest != null) this._receiveDigest(link, message.digest.members)
    else if (message.memberVector != null) this._receiveVector(link, message.memberVector)
    else if (message.memberPull != null) this._sendRequestedRecords(link, message.memberPull.ids)
  }

  private _scheduleDigests (): void {
    const { clock, random, settings } = this._options
    const delay = settings.digestInterval * (1 + random.fraction()) / 1.5 as Milliseconds
    this._digestTimer = clock.after(delay, () => {
      for (const link of this._options.overlay.links) this._sendDigest(link)
      this._scheduleDigests()
    })
  }

  private _sendDigest (link: PeerLink): void {
    if (!link.isDialled) return
    link.send({ digest: { members: this._options.membership.digest.combinedDigest() } })
  }

  private _receiveDigest (link: PeerLink, members: Uint8Array): void {
    // Messages with the digest of documents carry no digest of members.
    if (members.length === 0) return
    const { membership } = this._options
    if (membership.digest.combinedDigest().equals(members)) {
      this._differingLinks.delete(link)
      this._comparedLinks.add(link)
      return
    }
    const wasEqual = this._comparedLinks.has(link) && !this._differingLinks.has(link)
    this._comparedLinks.add(link)
    this._differingLinks.add(link)
    if (!wasEqual) this.sendBucketDigests(link)
  }

  private _receiveVector (link: PeerLink, vector: ReceivedMemberVector): void {
    if (vector.bucketDigests.length > 0) this._replyToBucketDigests(link, vector.bucketDigests)
    if (vector.buckets.length > 0) this._replyToEntries(link, vector)
  }

  private _replyToBucketDigests (link: PeerLink, digests: Uint8Array): void {
    const { membership, clock, settings } = this._options
    const now = clock.now()
    if (now < this._nextComparisonAt) {
      this._postponeComparison(link, durationBetween(now, this._nextComparisonAt))
      return
    }
    const buckets = membership.digest.differingBuckets(digests)
    if (buckets === undefined) {
      this._logInvalidMessage(link, 'bucket digests have an unexpected length')
      return
    }
    if (buckets.length === 0) return
    // Without this limit a joining node would fetch the complete member view over each of its links.
    this._nextComparisonAt = addDuration(now, settings.minimumComparisonInterval)
    this._sendEntries(link, buckets)
  }

  /** Sends a few buckets at a time, so that the replies of the peer do not arrive in one burst. */
  private _sendEntries (link: PeerLink, buckets: readonly number[]): void {
    if (this.isDisposed) return
    const { clock, settings } = this._options
    const batch = buckets.slice(0, settings.bucketsPerMessage)
    const remaining = buckets.slice(settings.bucketsPerMessage)
    const isSent = link.send({ memberVector: { buckets: batch, entries: this._membersInBuckets(new Set(batch)).map(toWireEntry) } })
    if (isSent && remaining.length > 0) clock.after(settings.bucketInterval, () => this._sendEntries(link, remaining))
  }

  private _postponeComparison (link: PeerLink, delay: Milliseconds): void {
    if (this._postponedLinks.has(link)) return
    this._postponedLinks.add(link)
    this._options.clock.after(delay, () => {
      this._postponedLinks.delete(link)
      if (!this.isDisposed) this.sendBucketDigests(link)
    })
  }

  private _replyToEntries (link: PeerLink, vector: ReceivedMemberVector): void {
    const isValid = vector.entries.length <= MAXIMUM_ENTRIES && vector.buckets.every((bucket) => bucket < MEMBER_BUCKETS)
    if (!isValid) {
      this._logInvalidMessage(link, 'member vector exceeds its limits')
      return
    }
    const peerVersions = new Map<NodeId, IMemberVersion>()
    for (const wire of vector.entries) {
      const entry = fromWireEntry(wire)
      if (entry !== undefined) peerVersions.set(entry.id, entry)
    }
    const newer = this._membersInBuckets(new Set(vector.buckets)).filter((record) => shouldSendRecord(record, peerVersions.get(record.id)))
    for (const message of createRecordMessages(newer, this._options.settings.recordsPerMessage)) link.send(message)
    this._requestNewerRecords(link, peerVersions.values())
  }

  private _requestNewerRecords (link: PeerLink, peerVersions: Iterable<IMemberVersion>): void {
    const { members } = this._options.membership
    const ids: NodeId[] = []
    for (const entry of peerVersions) {
      const current = members.get(entry.id)
      if (isNewerRecord(entry, current) && (current !== undefined || !isDeadOrLeft(entry.state))) ids.push(entry.id)
    }
    if (ids.length > 0) link.send({ memberPull: { ids } })
  }

  private _sendRequestedRecords (link: PeerLink, ids: readonly string[]): void {
    const { membership, settings } = this._options
    const records = new Set<INodeRecord>()
    for (const id of ids.slice(0, MAXIMUM_ENTRIES)) {
      const record = membership.members.get(id as NodeId)
      if (record !== undefined) records.add(record)
    }
    for (const message of createRecordMessages([...records], settings.recordsPerMessage)) link.send(message)
  }

  private _membersInBuckets (buckets: ReadonlySet<number>): readonly INodeRecord[] {
    const all = [...this._options.membership.members.values()]
    return all.filter((record) => buckets.has(bucketOf(record.id)))
  }

  private _logInvalidMessage (link: PeerLink, reason: string): void {
    this._options.log.log(PEER_MESSAGE_INVALID, { step: 'membership.compare', peer: link.peer.id, reason })
  }
}

/** Records of dead and left members are not sent to a peer that never had them or has already removed them. */
function shouldSendRecord (record: INodeRecord, peerVersion: IMemberVersion | undefined): boolean {
  return peerVersion === undefined ? !isDeadOrLeft(record.state) : isNewerRecord(record, peerVersion)
}
