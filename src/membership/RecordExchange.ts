/** Sends changed records to the peers at once and compares digests with them from time to time. */
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

/** What the exchange needs. */
export interface IRecordExchangeOptions {
  readonly membership: MembershipService
  readonly overlay: OverlayService
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly settings?: Partial<IRecordExchangeSettings>
}

/** A record that waits to be sent, and the links whose peers have it already. */
interface IPendingRecord {
  readonly record: INodeRecord
  readonly knownBy: Set<PeerLink>
}

/** Forwards what changed here; over gateway links only records of the own failure domain, as the others have their own gateways. */
export class RecordExchange extends Disposable implements IService {
  private readonly _settings: IRecordExchangeSettings
  private readonly _comparison: RecordComparison
  private readonly _pending = new Map<NodeId, IPendingRecord>()
  private _source: PeerLink | undefined
  private _flush: { readonly isUrgent: boolean, readonly timer: IDisposable } | undefined

  constructor (private readonly _options: IRecordExchangeOptions) {
    super()
    this._settings = { ...DEFAULT_RECORD_EXCHANGE_SETTINGS, ..._options.settings }
    const { membership, overlay, clock, random, log } = _options
    this._comparison = this.register(new RecordComparison({ membership, overlay, clock, random, log, settings: this._settings }))
    this.register(membership.onRecordChanged((record) => this._queue(record)))
    this.register(overlay.onLinkOpened((link) => this._serve(link)))
    this.register({ dispose: () => this._flush?.timer.dispose() })
  }

  public start (): void {
    this._comparison.start()
  }

  public stop (): void {
    this.dispose()
  }

  private _serve (link: PeerLink): void {
    link.onMessage((message) => this._receive(link, message))
    this._comparison.serve(link)
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
      log.log(PEER_MESSAGE_INVALID, { step: 'membership.records', peer: link.peer.id, reason: `${invalid} invalid records ignored` })
    }
    this._noteKnown(link, records)
    this._source = link
    membership.merge(records, clock.now())
    this._source = undefined
  }

  /** A record that arrives while the same one waits to be sent need not go back. */
  private _noteKnown (link: PeerLink, records: readonly INodeRecord[]): void {
    for (const record of records) {
      const pending = this._pending.get(record.id)
      if (pending === undefined) continue
      const { incarnation, sequence, state } = pending.record
      const isSame = record.incarnation === incarnation && record.sequence === sequence && record.state === state
      if (isSame) pending.knownBy.add(link)
    }
  }

  private _queue (record: INodeRecord): void {
    const isFromSource = this._source !== undefined && record.id !== this._options.membership.self.id
    const knownBy = new Set(isFromSource ? [this._source as PeerLink] : [])
    this._pending.set(record.id, { record, knownBy })
    this._schedule(takesWorkAway(record))
  }

  private _schedule (isUrgent: boolean): void {
    if (this.isDisposed || (this._flush !== undefined && (this._flush.isUrgent || !isUrgent))) return
    this._flush?.timer.dispose()
    const { batchInterval, urgentBatchInterval } = this._settings
    const delay = isUrgent ? urgentBatchInterval : batchInterval
    this._flush = { isUrgent, timer: this._options.clock.after(delay, () => this._send()) }
  }

  private _send (): void {
    this._flush = undefined
    const pending = [...this._pending.values()]
    this._pending.clear()
    if (pending.length > this._settings.largestBatch) {
      // After a join or a healed cut the peers mostly have the records already.
      for (const link of this._options.overlay.links) this._comparison.begin(link)
      return
    }
    const whole = this._createMessages(pending)
    for (const link of this._options.overlay.links) {
      const wanted = pending.filter((entry) => this._isWanted(entry, link))
      // Messages that go to several links are the same objects, so that they are encoded once.
      const messages = wanted.length === pending.length ? whole : this._createMessages(wanted)
      for (const message of messages) link.send(message)
    }
  }

  private _isWanted (entry: IPendingRecord, link: PeerLink): boolean {
    // Who is accused must learn of it, to refute.
    const isOwnNews = entry.record.id === link.peer.id && entry.record.state === 'alive'
    if (entry.knownBy.has(link) || isOwnNews) return false
    return link.isLocal || entry.record.failureDomain === this._options.membership.self.failureDomain
  }

  private _createMessages (pending: readonly IPendingRecord[]): readonly PeerMessage[] {
    return createRecordMessages(pending.map((entry) => entry.record), this._settings.recordsPerMessage)
  }
}

/** Whether others must stop sending calls there; it then travels faster. */
function takesWorkAway (record: INodeRecord): boolean {
  return record.state !== 'alive' || record.endpoints.some((endpoint) => endpoint.state === 'draining' || endpoint.state === 'left')
}
