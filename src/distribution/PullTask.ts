/** Gets the newest announced version of one service from one peer after another. */
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

/** What a pull task needs. */
export interface IPullTaskOptions {
  readonly held: HeldDocuments
  readonly snapshots: ISnapshotService
  readonly clock: IClockService
  readonly log: ILogService
  /** Time that a peer has to send a body. */
  readonly timeout: Milliseconds
  /** Requests to one peer for one service, after which it is not asked again. */
  readonly attemptsPerSource: number
}

/** One peer's offer. */
interface IOffer {
  readonly source: IPullSource
  version: number
  /** Not to be asked before. */
  readyAt: Timestamp
  attempts: number
  /** True after a delta from this peer could not be used. */
  needsWhole: boolean
  /** The newest request to this peer; its answer is also taken after the timeout. */
  request: IRequest | undefined
}

/** One request. */
interface IRequest {
  readonly wanted: number
  readonly base: IVersionedText | undefined
  isAnswered: boolean
}

/** A timer that is later than this tells that the process did not run for some time. */
const STALL_MS = 50

/** Time to read what arrived during a stall. */
const STALL_GRACE_MS = 250 as Milliseconds

/** Ends when no peer offers anything newer than what is held, or none of them delivers. */
export class PullTask {
  private readonly _offers = new Map<IPullSource, IOffer>()
  private readonly _signal: Signal
  private _isDone = false

  constructor (private readonly _service: ServiceName, private readonly _options: IPullTaskOptions) {
    this._signal = new Signal(_options.clock)
  }

  /** True once the task takes no more offers. */
  public get isDone (): boolean {
    return this._isDone
  }

  /** Adds a peer that announced `version`, to be asked `delay` from now at the earliest. */
  public addOffer (source: IPullSource, version: DocumentVersion, delay: Milliseconds, now: Timestamp): void {
    const known = this._offers.get(source)
    if (known === undefined) {
      this._offers.set(source, { source, version, readyAt: addDuration(now, delay), attempts: 0, needsWhole: false, request: undefined })
    } else if (known.version < version) {
      known.version = version
      known.attempts = 0
    }
    this._signal.notify()
  }

  /** Wakes the task because the version may have arrived by another way, or a source has closed. */
  public wake (): void {
    this._signal.notify()
  }

  /** Asks until nothing newer is offered. */
  public async run (): Promise<void> {
    for (;;) {
      const now = this._options.clock.now()
      const offer = this._nextOffer()
      if (offer === undefined) break
      if (offer.readyAt > now) await this._awaitReady(offer, now)
      else await this._ask(offer)
    }
    this._isDone = true
    if (this._isOutstanding()) this._options.log.log(PULL_GIVEN_UP, { step: 'pull.run', service: this._service })
  }

  /** Takes a body. Returns false if this peer was not asked, or if the body cannot be used. */
  public receive (source: IPullSource, body: ReceivedBody, now: Timestamp): boolean {
    const offer = this._offers.get(source)
    if (offer?.request === undefined || offer.request.isAnswered) return false
    offer.request.isAnswered = true
    this._signal.notify()
    const version = this._decode(offer.request, body, source.name)
    if (version === undefined) {
      offer.needsWhole = true
      return false
    }
    this._options.snapshots.offer([version], now)
    return true
  }

  /** After a stall of this process the answer to what it waits for may be among the messages that it has not read yet. */
  private async _awaitReady (offer: IOffer, now: Timestamp): Promise<void> {
    const { readyAt } = offer
    await this._signal.wait(durationBetween(now, readyAt))
    const wokenAt = this._options.clock.now()
    if (durationBetween(readyAt, wokenAt) > STALL_MS) offer.readyAt = addDuration(wokenAt, STALL_GRACE_MS)
  }

  private async _ask (offer: IOffer): Promise<void> {
    offer.attempts++
    const base = offer.needsWhole ? undefined : this._options.held.newest(this._service)
    const request: IRequest = { wanted: offer.version, base, isAnswered: false }
    offer.request = request
    const isSent = offer.source.send({ pull: this._pullMessage(offer, base) })
    if (isSent) await this._awaitAnswer(offer.source, request)
    else offer.attempts = this._options.attemptsPerSource
  }

  private async _awaitAnswer (source: IPullSource, request: IRequest): Promise<void> {
    const { clock, held, timeout } = this._options
    const deadline = addDuration(clock.now(), timeout)
    while (!request.isAnswered && source.isOpen) {
      const remaining = durationBetween(clock.now(), deadline)
      if (remaining <= 0 || held.newestVersion(this._service) >= request.wanted) return
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

  /** The offer to take next: the earliest that is newer than what is held and not used up. */
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

  private _isOutstanding (): boolean {
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
    if (entry.version < request.wanted) throw new BodyError('version is older than asked for', { step: 'pull.receive', peer })
    if (entry.isTombstone) return { ...entry, text: '' }
    const base = this._baseOf(request, body, peer)
    return { ...entry, text: decodeBody(body.content, base, entry.hash, { peer, maximumBytes: MAXIMUM_DOCUMENT_BYTES }) }
  }

  private _baseOf (request: IRequest, body: ReceivedBody, peer: string): string | undefined {
    if (body.baseVersion === 0) return undefined
    if (body.baseVersion !== request.base?.version) throw new BodyError('delta is against another base', { step: 'pull.receive', peer })
    return request.base.text
  }
}

/** Fewer attempts first, then the earlier, then the newer version. */
function comesBefore (left: IOffer, right: IOffer): boolean {
  if (left.attempts !== right.attempts) return left.attempts < right.attempts
  if (left.readyAt !== right.readyAt) return left.readyAt < right.readyAt
  return left.version > right.version
}
