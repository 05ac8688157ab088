/** Pulls the newest announced version of one service, trying one peer after another. */
import type { IClockService, ILogService } from '../common/Services.js'
import { addDuration, durationBetween } from '../common/Ids.js'
import type { DocumentVersion, Milliseconds, ServiceName, Timestamp } from '../common/Types.js'
import type { IVersionedText } from '../documents/Types.js'
import type { ReceivedBody } from '../generated/savoryknot/Body.js'
import { BodyError, decodeBody, MAXIMUM_DOCUMENT_BYTES } from './BodyCodec.js'
import { BODY_REFUSED, PULL_GIVEN_UP } from './Events.js'
import type { HeldDocuments } from './HeldDocuments.js'
import type { ISnapshotService } from './Services.js'
import { Signal } from './Signal.js'
import { reasonOf } from './Timeouts.js'
import { decodeVersionEntry } from './VersionEntryCodec.js'
import type { PeerMessage } from '../generated/savoryknot/PeerMessage.js'

/** A peer from which bodies can be pulled. */
export interface IPullSource {
  readonly name: string
  readonly isOpen: boolean
  send (message: PeerMessage): boolean
}

/** Dependencies and limits of `PullTask`. */
export interface IPullTaskOptions {
  readonly held: HeldDocuments
  readonly snapshots: ISnapshotService
  readonly clock: IClockService
  readonly log: ILogService
  /** Time within which a peer must send a requested body. */
  readonly timeout: Milliseconds
  /** Maximum number of requests to one peer for one service. */
  readonly attemptsPerSource: number
}

/** Version that one peer has announced, and the requests sent to this peer. */
interface IOffer {
  readonly source: IPullSource
  version: number
  /** Earliest time of a request to this peer. */
  readyAt: Timestamp
  attempts: number
  /** True after a body from this peer could not be used; the next request asks for a complete body instead of a delta. */
  needsFullBody: boolean
  /** The latest request to this peer; its body is accepted even after the timeout. */
  request: IRequest | undefined
}

/** Request for one body. */
interface IRequest {
  readonly wantedVersion: number
  readonly base: IVersionedText | undefined
  hasBody: boolean
}

/** A timer that fires with a greater delay than this indicates that the process did not run for some time. */
const MINIMUM_STALL_MS = 50

/** Time after a stall in which the messages that arrived during the stall are read. */
const READ_AFTER_STALL_MS = 250 as Milliseconds

/** Finishes when no peer offers a version newer than the stored one, or when all attempts have failed. */
export class PullTask {
  private readonly _offers = new Map<IPullSource, IOffer>()
  private readonly _signal: Signal
  private _isDone = false

  constructor (private readonly _service: ServiceName, private readonly _options: IPullTaskOptions) {
    this._signal = new Signal(_options.clock)
  }

  /** True once the task accepts no more offers. */
  public get isDone (): boolean {
    return this._isDone
  }

  /** Adds a peer that announced `version`; it receives a request `delay` from now at the earliest. */
  public addOffer (source: IPullSource, version: DocumentVersion, delay: Milliseconds, now: Timestamp): void {
    const existing = this._offers.get(source)
    if (existing === undefined) {
      this._offers.set(source, { source, version, readyAt: addDuration(now, delay), attempts: 0, needsFullBody: false, request: undefined })
    } else if (existing.version < version) {
      existing.version = version
      existing.attempts = 0
    }
    this._signal.notify()
  }

  /** Wakes the task because the version may have arrived from elsewhere, or because a source has closed. */
  public wake (): void {
    this._signal.notify()
  }

  /** Sends requests until no newer version is offered or all attempts are used. */
  public async run (): Promise<void> {
    for (;;) {
      const now = this._options.clock.now()
      const offer = this._nextOffer()
      if (offer === undefined) break
      if (offer.readyAt > now) await this._awaitReady(offer, now)
      else await this._pullFrom(offer)
    }
    this._isDone = true
    if (this._isNewerVersionOffered()) this._options.log.log(PULL_GIVEN_UP, { step: 'pull.run', service: this._service })
  }

  /** Handles a received body. Returns false if no request to this peer is open, or if the body cannot be used. */
  public receive (source: IPullSource, body: ReceivedBody, now: Timestamp): boolean {
    const offer = this._offers.get(source)
    if (offer?.request === undefined || offer.request.hasBody) return false
    offer.request.hasBody = true
    this._signal.notify()
    const version = this._decode(offer.request, body, source.name)
    if (version === undefined) {
      offer.needsFullBody = true
      return false
    }
    this._options.snapshots.applyNewer([version], now)
    return true
  }

  /** After a stall of this process, the awaited body may be among the messages that have not been read yet, so the request is delayed. */
  private async _awaitReady (offer: IOffer, now: Timestamp): Promise<void> {
    const { readyAt } = offer
    await this._signal.wait(durationBetween(now, readyAt))
    const wokenAt = this._options.clock.now()
    if (durationBetween(readyAt, wokenAt) > MINIMUM_STALL_MS) offer.readyAt = addDuration(wokenAt, READ_AFTER_STALL_MS)
  }

  private async _pullFrom (offer: IOffer): Promise<void> {
    offer.attempts++
    const base = offer.needsFullBody ? undefined : this._options.held.newest(this._service)
    const request: IRequest = { wantedVersion: offer.version, base, hasBody: false }
    offer.request = request
    const isSent = offer.source.send({ pull: this._pullMessage(offer, base) })
    if (isSent) await this._awaitBody(offer.source, request)
    else offer.attempts = this._options.attemptsPerSource
  }

  private async _awaitBody (source: IPullSource, request: IRequest): Promise<void> {
    const { clock, held, timeout } = this._options
    const deadline = addDuration(clock.now(), timeout)
    while (!request.hasBody && source.isOpen) {
      const remaining = durationBetween(clock.now(), deadline)
      if (remaining <= 0 || held.newestVersion(this._service) >= request.wantedVersion) return
      await this._signal.wait(remaining)
    }
  }

  private _pullMessage (offer: IOffer, base: IVersionedText | undefined): NonNullable<PeerMessage['pull']> {
    return {
      service: this._service,
      wantedVersion: offer.version,
      baseVersion: base?.version ?? 0,
      baseHash: base === undefined ? Buffer.alloc(0) : Buffer.from(base.hash, 'hex')
    }
  }

  /** The next usable offer in the order of `comesBefore`. */
  private _nextOffer (): IOffer | undefined {
    let next: IOffer | undefined
    for (const offer of this._offers.values()) {
      if (!this._isUsable(offer)) continue
      if (next === undefined || comesBefore(offer, next)) next = offer
    }
    return next
  }

  private _isUsable (offer: IOffer): boolean {
    return offer.source.isOpen && offer.attempts < this._options.attemptsPerSource &&
      offer.version > this._options.held.newestVersion(this._service)
  }

  private _isNewerVersionOffered (): boolean {
    const held = this._options.held.newestVersion(this._service)
    return [...this._offers.values()].some((offer) => offer.version > held)
  }

  private _decode (request: IRequest, body: ReceivedBody, peer: string): IVersionedText | undefined {
    try {
      return this._decodeOrThrow(request, body, peer)
    } catch (error) {
      this._options.log.log(BODY_REFUSED, { step: 'pull.receive', peer, service: this._service, reason: reasonOf(error) })
      return undefined
    }
  }

  private _decodeOrThrow (request: IRequest, body: ReceivedBody, peer: string): IVersionedText {
    const entry = body.entry === null ? undefined : decodeVersionEntry(body.entry)
    if (entry === undefined || entry.service !== this._service) throw new BodyError('entry is malformed', { step: 'pull.receive', peer })
    if (entry.version < request.wantedVersion) throw new BodyError('version is older than requested', { step: 'pull.receive', peer })
    if (entry.isTombstone) return { ...entry, text: '' }
    const base = this._findBase(request, body, peer)
    return { ...entry, text: decodeBody(body.content, base, entry.hash, { peer, maximumBytes: MAXIMUM_DOCUMENT_BYTES }) }
  }

  private _findBase (request: IRequest, body: ReceivedBody, peer: string): string | undefined {
    if (body.baseVersion === 0) return undefined
    if (body.baseVersion !== request.base?.version) throw new BodyError('delta refers to a different base version', { step: 'pull.receive', peer })
    return request.base.text
  }
}

/** Orders offers by fewer attempts, then by earlier ready time, then by newer version. */
function comesBefore (left: IOffer, right: IOffer): boolean {
  if (left.attempts !== right.attempts) return left.attempts < right.attempts
  if (left.readyAt !== right.readyAt) return left.readyAt < right.readyAt
  return left.version > right.version
}
