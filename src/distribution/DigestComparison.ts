/** Compares this node's digest with the digest of one peer, and decides when to send the complete version vector. */
import { Disposable } from '../common/Disposable.js'
import { addDuration } from '../common/Ids.js'
import type { IClockService } from '../common/Services.js'
import type { Milliseconds, Timestamp } from '../common/Types.js'
import type { HeldDocuments } from './HeldDocuments.js'
import type { ISessionTiming } from './SessionTiming.js'

/** Dependencies of `DigestComparison`. */
export interface IDigestComparisonOptions {
  readonly held: HeldDocuments
  readonly clock: IClockService
  readonly timing: ISessionTiming
  readonly sendDigest: () => void
  readonly sendVector: () => void
}

/**
 * The digests also differ while a change is in flight. Such a difference disappears by itself, so the digests are compared again
 * after a delay, and the vector is sent only if they still differ and this node's digest has not changed meanwhile. If it has changed,
 * the new digest is sent instead.
 */
export class DigestComparison extends Disposable {
  private readonly _options: IDigestComparisonOptions
  private _peerDigest: bigint | undefined
  private _isPeerCaughtUp = false
  private _isConfirmed = false
  private _isRecheckScheduled = false
  private _nextVectorAt = 0 as Timestamp
  private _vectorInterval: Milliseconds

  constructor (options: IDigestComparisonOptions) {
    super()
    this._options = options
    this._vectorInterval = options.timing.vectorInterval
  }

  /** True once this node had the same versions as the peer while the peer was caught up. */
  public get isConfirmed (): boolean {
    return this._isConfirmed
  }

  /** Handles a digest of the peer. */
  public receive (digest: bigint, isPeerCaughtUp: boolean, now: Timestamp): void {
    this._peerDigest = digest
    this._isPeerCaughtUp = isPeerCaughtUp
    this.updateConfirmed()
    if (digest === this._options.held.digest) this._vectorInterval = this._options.timing.vectorInterval
    else this._scheduleRecheck(now)
  }

  /** Checks whether this node now has the versions of the peer's last digest; called after versions were added. */
  public updateConfirmed (): void {
    if (this._isPeerCaughtUp && this._peerDigest === this._options.held.digest) this._isConfirmed = true
  }

  private _scheduleRecheck (now: Timestamp): void {
    if (this._isRecheckScheduled) return
    this._isRecheckScheduled = true
    const { clock, timing, held } = this._options
    const previousDigest = held.digest
    const dueAt = addDuration(now, timing.mismatchDelay)
    clock.after(timing.mismatchDelay, () => this._recheck(previousDigest, dueAt))
  }

  private _recheck (previousDigest: bigint, now: Timestamp): void {
    this._isRecheckScheduled = false
    const { held, timing, sendDigest, sendVector } = this._options
    if (this.isDisposed || this._peerDigest === held.digest) return
    if (held.digest !== previousDigest) return sendDigest()
    if (now < this._nextVectorAt) return
    this._nextVectorAt = addDuration(now, this._vectorInterval)
    this._vectorInterval = Math.min(this._vectorInterval * 2, timing.maximumVectorInterval) as Milliseconds
    sendVector()
  }
}
