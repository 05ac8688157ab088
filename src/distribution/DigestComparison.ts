/** Compares this node's digest with that of one peer, and decides when the whole version vector is worth its bytes. */
import { Disposable } from '../common/Disposable.js'
import { addDuration } from '../common/Ids.js'
import type { IClockService } from '../common/Services.js'
import type { Milliseconds, Timestamp } from '../common/Types.js'
import type { HeldDocuments } from './HeldDocuments.js'
import type { ISessionTiming } from './SessionTiming.js'

/** What the comparison needs. */
export interface IDigestComparisonOptions {
  readonly held: HeldDocuments
  readonly clock: IClockService
  readonly timing: ISessionTiming
  readonly sendDigest: () => void
  readonly sendVector: () => void
}

/** A difference that settles by itself, as it does while a change is on its way, costs a digest at most. */
export class DigestComparison extends Disposable {
  private readonly _options: IDigestComparisonOptions
  private _peerDigest: bigint | undefined
  private _isPeerCaughtUp = false
  private _isConfirmed = false
  private _isSettling = false
  private _nextVectorAt = 0 as Timestamp
  private _vectorInterval: Milliseconds

  constructor (options: IDigestComparisonOptions) {
    super()
    this._options = options
    this._vectorInterval = options.timing.vectorInterval
  }

  /** True once this node held everything that the caught-up peer held. */
  public get isConfirmed (): boolean {
    return this._isConfirmed
  }

  /** Takes the peer's digest. */
  public receive (digest: bigint, isPeerCaughtUp: boolean, now: Timestamp): void {
    this._peerDigest = digest
    this._isPeerCaughtUp = isPeerCaughtUp
    this.confirm()
    if (digest === this._options.held.digest) this._vectorInterval = this._options.timing.vectorInterval
    else this._awaitSettling(now)
  }

  /** Looks again whether this node has come to hold what the peer held. */
  public confirm (): void {
    if (this._isPeerCaughtUp && this._peerDigest === this._options.held.digest) this._isConfirmed = true
  }

  private _awaitSettling (now: Timestamp): void {
    if (this._isSettling) return
    this._isSettling = true
    const { clock, timing, held } = this._options
    const digestThen = held.digest
    const dueAt = addDuration(now, timing.differenceDelay)
    clock.after(timing.differenceDelay, () => this._resolve(digestThen, dueAt))
  }

  private _resolve (digestThen: bigint, now: Timestamp): void {
    this._isSettling = false
    const { held, timing, sendDigest, sendVector } = this._options
    if (this.isDisposed || this._peerDigest === held.digest) return
    if (held.digest !== digestThen) return sendDigest()
    if (now < this._nextVectorAt) return
    this._nextVectorAt = addDuration(now, this._vectorInterval)
    this._vectorInterval = Math.min(this._vectorInterval * 2, timing.vectorIntervalLimit) as Milliseconds
    sendVector()
  }
}
