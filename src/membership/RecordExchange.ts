/** Sends changed records to the peers in batches and compares digests with them periodically. */
import { Disposable } from '../common/Disposable.js'
import { PEER_MESSAGE_INVALID } from './Events.js'
import { DEFAULT_RECORD_EXCHANGE_SETTINGS, type IRecordExchangeSettings } from './Options.js'
import { fromWireRecord } from './RecordCodec.js'
import { RecordComparison } from './RecordComparison.js'
import { createRecordMessages } from './RecordMessages.js'
import type { IClockService, ILogService, IRandomService, IService } from '../common/Services.js'
import type { IDisposable, NodeId } from '../common/Types.js'
import type { ReceivedNodeRecord } from '../generated/savoryknot/NodeRecord.js'
import type { PeerMessage, ReceivedPeerMessage } from '../generated/savoryknot/PeerMessage.js'
import type { MembershipService } from './MembershipService.js'
import type { OverlayService } from './OverlayService.js'
import type { PeerLink } from './PeerLink.js'
import type { INodeRecord } from './Types.js'

/** Dependencies and settings of RecordExchange. */
export interface IRecordExchangeOptions {
  readonly membership: MembershipService
  readonly overlay: OverlayService
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly settings?: Partial<IRecordExchangeSettings>
}

/** A record to be sent, and the links whose peers already have it. */
interface IPendingRecord {
  readonly record: INodeRecord
  readonly knownBy: Set<PeerLink>
}

/**
 * Forwards every record that changed in this node's view. Over links to other failure domains it sends only records of the
 * own failure domain, as the gateways of each failure domain send that domain's records.
 */
export class RecordExchange extends Disposable implements IService {
  private readonly _settings: IRecordExchangeSettings
  private readonly _comparison: RecordComparison
  private readonly _pending = new Map<NodeId, IPendingRecord>()
  private _sourceLink: PeerLink | undefined
  private _scheduledFlush: { readonly isUrgent: boolean, readonly timer: IDisposable } | undefined

  constructor (private readonly _options: IRecordExchangeOptions) {
    super()
    this._settings = { ...DEFAULT_RECORD_EXCHANGE_SETTINGS, ..._options.settings }
    const { membership, overlay, clock, random, log } = _options
    this._comparison = this.register(new RecordComparison({ membership, overlay, clock, random, log, settings: this._settings }))
    this.register(membership.onRecordChanged((record) => this._enqueue(record)))
    this.register(overlay.onLinkOpened((link) => this._addLink(link)))
    this.register({ dispose: () => this._scheduledFlush?.timer.dispose() })
  }

  public start (): void {
    this._comparison.start()
  }

  public stop (): void {
    this.dispose()
  }

  private _addLink (link: PeerLink): void {
    link.onMessage((message) => this._receive(link, message))
    this._comparison.addLink(link)
  }

  private _receive (link: PeerLink, message: ReceivedPeerMessage): void {
    if (message.nodeRecords != null) this._receiveRecords(link, message.nodeRecords.records)
    else this._comparison.receive(link, message)
  }

  private _receiveRecords (link: PeerLink, received: readonly ReceivedNodeRecord[]): void {
    const { membership, clock, log } = this._options
    const records: INodeRecord[] = []
    for (const wire of received) {
      const record = fromWireRecord(wire)
      if (record !== undefined) records.push(record)
    }
    if (records.length < received.length) {
      const invalid = received.length - records.length
      log.log(PEER_MESSAGE_INVALID, { step: 'membership.records', peer: link.peer.id, reason: `ignored ${invalid} invalid records` })
    }
    this._markKnownBy(link, records)
    this._sourceLink = link
    membership.merge(records, clock.now())
    this._sourceLink = undefined
  }

  /** A peer that sends a record which is still pending here need not receive it again. */
  private _markKnownBy (link: PeerLink, records: readonly INodeRecord[]): void {
    for (const record of records) {
      const pending = this._pending.get(record.id)
      if (pending === undefined) continue
      const { incarnation, sequence, state } = pending.record
      const isSame = record.incarnation === incarnation && record.sequence === sequence && record.state === state
      if (isSame) pending.knownBy.add(link)
    }
  }

  private _enqueue (record: INodeRecord): void {
    const isFromSource = this._sourceLink !== undefined && record.id !== this._options.membership.self.id
    const knownBy = new Set(isFromSource ? [this._sourceLink as PeerLink] : [])
    this._pending.set(record.id, { record, knownBy })
    this._scheduleFlush(withdrawsCapacity(record))
  }

  private _scheduleFlush (isUrgent: boolean): void {
    if (this.isDisposed || (this._scheduledFlush !== undefined && (this._scheduledFlush.isUrgent || !isUrgent))) return
    this._scheduledFlush?.timer.dispose()
    const { batchInterval, urgentBatchInterval } = this._settings
    const delay = isUrgent ? urgentBatchInterval : batchInterval
    this._scheduledFlush = { isUrgent, timer: this._options.clock.after(delay, () => this._flushPending()) }
  }

  private _flushPending (): void {
    this._scheduledFlush = undefined
    const pending = [...this._pending.values()]
    this._pending.clear()
    if (pending.length > this._settings.maximumBatchRecords) {
      // So many changes at once follow a join or the end of a network partition; the peers then already have most of the records.
      for (const link of this._options.overlay.links) this._comparison.sendBucketDigests(link)
      return
    }
    const allMessages = this._createMessages(pending)
    for (const link of this._options.overlay.links) {
      const entriesToSend = pending.filter((entry) => this._shouldSend(entry, link))
      // Links that receive the same records share the message objects, so that each message is encoded only once.
      const messages = entriesToSend.length === pending.length ? allMessages : this._createMessages(entriesToSend)
      for (const message of messages) link.send(message)
    }
  }

  private _shouldSend (entry: IPendingRecord, link: PeerLink): boolean {
    // A node receives its own record if others consider it suspect or dead, so that it can refute.
    const isOwnAliveRecord = entry.record.id === link.peer.id && entry.record.state === 'alive'
    if (entry.knownBy.has(link) || isOwnAliveRecord) return false
    return link.isLocal || entry.record.failureDomain === this._options.membership.self.failureDomain
  }

  private _createMessages (pending: readonly IPendingRecord[]): readonly PeerMessage[] {
    return createRecordMessages(pending.map((entry) => entry.record), this._settings.recordsPerMessage)
  }
}

/** Whether other nodes must stop sending requests to the node or to one of its endpoints; such a record is sent sooner. */
function withdrawsCapacity (record: INodeRecord): boolean {
  return record.state !== 'alive' || record.endpoints.some((endpoint) => endpoint.state === 'draining' || endpoint.state === 'left')
}
