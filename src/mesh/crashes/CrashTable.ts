/** Stores the known crashes by request, and which nodes publish them. */
import type { RequestFingerprint, Timestamp } from '../../common/Types.js'
import type { CrashId, ICrashRecord, NodeName, RequestTarget } from '../Types.js'
import { targetOf } from './RequestIdentity.js'

/** A crash as known to this node. */
export interface IKnownCrash extends ICrashRecord {
  readonly learntAt: Timestamp
  /** Nodes whose rows contain the crash. */
  readonly publishers: Set<NodeName>
}

const NO_CRASHES: readonly IKnownCrash[] = Object.freeze([])

/** Holds at most `_capacity` crashes; a further one replaces the oldest. */
export class CrashTable {
  private readonly _crashes = new Map<CrashId, IKnownCrash>()
  private readonly _byFingerprint = new Map<RequestFingerprint, readonly IKnownCrash[]>()
  /** Number of fingerprints of each target. */
  private readonly _targets = new Map<RequestTarget, number>()

  constructor (private readonly _capacity: number) {}

  public get size (): number {
    return this._crashes.size
  }

  public get fingerprints (): Iterable<RequestFingerprint> {
    return this._byFingerprint.keys()
  }

  public get (id: CrashId): IKnownCrash | undefined {
    return this._crashes.get(id)
  }

  /** True if a request with the same method, host and path has crashes, so that its body has to be compared. */
  public hasTarget (target: RequestTarget): boolean {
    return this._targets.has(target)
  }

  /** Crashes of a request, the oldest first. */
  public crashesOf (fingerprint: RequestFingerprint): readonly IKnownCrash[] {
    return this._byFingerprint.get(fingerprint) ?? NO_CRASHES
  }

  /** All crashes, the oldest first. */
  public values (): Iterable<IKnownCrash> {
    return this._crashes.values()
  }

  /** Adds a crash that is not yet stored. */
  public add ({ id, fingerprint, kind }: ICrashRecord, now: Timestamp): IKnownCrash {
    const oldest = this._crashes.values().next().value
    if (this._crashes.size >= this._capacity && oldest !== undefined) this.delete(oldest.id)
    const crash: IKnownCrash = { id, fingerprint, kind, learntAt: now, publishers: new Set() }
    const others = this.crashesOf(fingerprint)
    this._crashes.set(id, crash)
    this._byFingerprint.set(fingerprint, [...others, crash])
    if (others.length === 0) this._targets.set(targetOf(fingerprint), (this._targets.get(targetOf(fingerprint)) ?? 0) + 1)
    return crash
  }

  public delete (id: CrashId): void {
    const crash = this._crashes.get(id)
    if (crash === undefined) return
    this._crashes.delete(id)
    const others = this.crashesOf(crash.fingerprint).filter((other) => other.id !== id)
    if (others.length > 0) this._byFingerprint.set(crash.fingerprint, others)
    else this._forgetRequest(crash.fingerprint)
  }

  private _forgetRequest (fingerprint: RequestFingerprint): void {
    this._byFingerprint.delete(fingerprint)
    const target = targetOf(fingerprint)
    const count = (this._targets.get(target) ?? 1) - 1
    if (count === 0) this._targets.delete(target)
    else this._targets.set(target, count)
  }
}
