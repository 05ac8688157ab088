/** Finds and repairs differences between the member views of two peers. */
import { addDuration, durationBetween } from '../common/Ids.js'
import { Disposable } from '../common/Disposable.js'
import { PEER_MESSAGE_INVALID } from './Events.js'
import { bucketOf, MEMBER_BUCKETS } from './MemberDigest.js'
import { fromWireEntry, toWireEntry, type IMemberVersion } from './RecordCodec.js'
import { createRecordMessages } from './RecordMessages.js'
import { isGone, isNewerRecord } from './RecordOrder.js'
import type { IClockService, ILogService, IRandomService } from '../common/Services.js'
import type { IDisposable, Milliseconds, NodeId, Timestamp } from '../common/Types.js'
import type { ReceivedMemberVector } from '../generated/savoryknot/MemberVector.js'
import type { ReceivedPeerMessage } from '../generated/savoryknot/PeerMessage.js'
import type { MembershipService } from './MembershipService.js'
import type { IRecordExchangeSettings } from './Options.js'
import type { OverlayService } from './OverlayService.js'
import type { PeerLink } from './PeerLink.js'
import type { INodeRecord } from './Types.js'

/** What the comparison needs. */
export interface IRecordComparisonOptions {
  readonly membership: MembershipService
  readonly overlay: OverlayService
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly settings: IRecordExchangeSettings
}

/** Entries and ids read from one message; a peer cannot hold more members. */
const MAXIMUM_ENTRIES = 20_000

/**
 * The side that dialled sends its digest. If it differs the other answers with the digests of all buckets, then the
 * first sends the versions in the buckets that differ, and the other sends what is newer and asks for what is older.
 * A difference must be seen twice in turn, since a change on its way makes views differ for a moment.
 */
export class RecordComparison extends Disposable {
  /** Links whose last digest differed. */
  private readonly _differing = new WeakSet<PeerLink>()
  private readonly _compared = new WeakSet<PeerLink>()
  /** Links that wait until the comparison under way is done. */
  private readonly _waiting = new Set<PeerLink>()
  private _busyUntil = 0 as Timestamp
  private _next: IDisposable | undefined

  constructor (private readonly _options: IRecordComparisonOptions) {
    super()
    this.register({ dispose: () => this._next?.dispose() })
  }

  public start (): void {
    this._scheduleNext()
  }

  /** Begins with a new link: views that were apart for a time are compared at once. */
  public serve (link: PeerLink): void {
    this._sendDigest(link)
  }

  /** Compares now. */
  public begin (link: PeerLink): void {
    link.send({ memberVector: { bucketDigests: this._options.membership.digest.buckets() } })
  }

  public receive (link: PeerLink, message: ReceivedPeerMessage): void {
    if (message.digest != null) this._receiveDigest(link, message.digest.members)
    else if (message.memberVector != null) this._receiveVector(link, message.memberVector)
    else if (message.memberPull != null) this._sendPulled(link, message.memberPull.ids)
  }

  private _scheduleNext (): void {
    const { clock, random, settings } = this._options
    const delay = settings.digestInterval * (1 + random.fraction()) / 1.5 as Milliseconds
    this._next = clock.after(delay, () => {
      for (const link of this._options.overlay.links) this._sendDigest(link)
      this._scheduleNext()
    })
  }

  private _sendDigest (link: PeerLink): void {
    if (!link.isDialled) return
    link.send({ digest: { members: this._options.membership.digest.whole() } })
  }

  private _receiveDigest (link: PeerLink, members: Uint8Array): void {
    // Digests of documents travel in messages of their own.
    if (members.length === 0) return
    const { membership } = this._options
    if (membership.digest.whole().equals(members)) {
      this._differing.delete(link)
      this._compared.add(link)
      return
    }
    const isSettled = this._compared.has(link) && !this._differing.has(link)
    this._compared.add(link)
    this._differing.add(link)
    if (!isSettled) this.begin(link)
  }

  private _receiveVector (link: PeerLink, vector: ReceivedMemberVector): void {
    if (vector.bucketDigests.length > 0) this._answerBuckets(link, vector.bucketDigests)
    if (vector.buckets.length > 0) this._answerEntries(link, vector)
  }

  private _answerBuckets (link: PeerLink, digests: Uint8Array): void {
    const { membership, clock, settings } = this._options
    const now = clock.now()
    if (now < this._busyUntil) {
      this._postpone(link, durationBetween(now, this._busyUntil))
      return
    }
    const buckets = membership.digest.differingBuckets(digests)
    if (buckets === undefined) {
      this._rejectMessage(link, 'bucket digests of another length')
      return
    }
    if (buckets.length === 0) return
    // A node that joins would else fetch everything over each of its links.
    this._busyUntil = addDuration(now, settings.comparisonTimeout)
    this._sendEntries(link, buckets)
  }

  /** Some buckets at a time, so that the answers of a peer do not come all at once. */
  private _sendEntries (link: PeerLink, buckets: readonly number[]): void {
    if (this.isDisposed) return
    const { clock, settings } = this._options
    const part = buckets.slice(0, settings.bucketsPerMessage)
    const rest = buckets.slice(settings.bucketsPerMessage)
    const isSent = link.send({ memberVector: { buckets: part, entries: this._membersIn(new Set(part)).map(toWireEntry) } })
    if (isSent && rest.length > 0) clock.after(settings.bucketInterval, () => this._sendEntries(link, rest))
  }

  private _postpone (link: PeerLink, delay: Milliseconds): void {
    if (this._waiting.has(link)) return
    this._waiting.add(link)
    this._options.clock.after(delay, () => {
      this._waiting.delete(link)
      if (!this.isDisposed) this.begin(link)
    })
  }

  private _answerEntries (link: PeerLink, vector: ReceivedMemberVector): void {
    const isValid = vector.entries.length <= MAXIMUM_ENTRIES && vector.buckets.every((bucket) => bucket < MEMBER_BUCKETS)
    if (!isValid) {
      this._rejectMessage(link, 'member vector outside its limits')
      return
    }
    const theirs = new Map<NodeId, IMemberVersion>()
    for (const wire of vector.entries) {
      const entry = fromWireEntry(wire)
      if (entry !== undefined) theirs.set(entry.id, entry)
    }
    const newer = this._membersIn(new Set(vector.buckets)).filter((record) => isWorthSending(record, theirs.get(record.id)))
    for (const message of createRecordMessages(newer, this._options.settings.recordsPerMessage)) link.send(message)
    this._pullNewer(link, theirs.values())
  }

  private _pullNewer (link: PeerLink, theirs: Iterable<IMemberVersion>): void {
    const { members } = this._options.membership
    const ids: NodeId[] = []
    for (const entry of theirs) {
      const held = members.get(entry.id)
      if (isNewerRecord(entry, held) && (held !== undefined || !isGone(entry.state))) ids.push(entry.id)
    }
    if (ids.length > 0) link.send({ memberPull: { ids } })
  }

  private _sendPulled (link: PeerLink, ids: readonly string[]): void {
    const { membership, settings } = this._options
    const records = new Set<INodeRecord>()
    for (const id of ids.slice(0, MAXIMUM_ENTRIES)) {
      const record = membership.members.get(id as NodeId)
      if (record !== undefined) records.add(record)
    }
    for (const message of createRecordMessages([...records], settings.recordsPerMessage)) link.send(message)
  }

  private _membersIn (buckets: ReadonlySet<number>): readonly INodeRecord[] {
    const all = [...this._options.membership.members.values()]
    return all.filter((record) => buckets.has(bucketOf(record.id)))
  }

  private _rejectMessage (link: PeerLink, reason: string): void {
    this._options.log.log(PEER_MESSAGE_INVALID, { step: 'membership.compare', peer: link.peer.id, reason })
  }
}

/** The dead are not sent to who never knew them or forgot them. */
function isWorthSending (record: INodeRecord, theirs: IMemberVersion | undefined): boolean {
  return theirs === undefined ? !isGone(record.state) : isNewerRecord(record, theirs)
}
