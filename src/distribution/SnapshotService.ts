/** Provides the active snapshot on this node and replaces it by one assignment. */
import { Counter, Gauge } from 'prom-client'
import { Emitter } from '../common/Emitter.js'
import type { IInvariantService, ILogService, IMetricsService } from '../common/Services.js'
import type { IEvent, Timestamp } from '../common/Types.js'
import type { ISnapshotBuilder } from '../documents/Services.js'
import type { IRejection, ISnapshot, IVersionedText } from '../documents/Types.js'
import { SNAPSHOT_REPLACED, VERSION_REJECTED, VERSION_WAITING } from './Events.js'
import type { HeldDocuments } from './HeldDocuments.js'
import type { ISnapshotService } from './Services.js'
import { SnapshotInvariants } from './SnapshotInvariants.js'

/** Dependencies of `SnapshotService`. */
export interface ISnapshotServiceOptions {
  readonly builder: ISnapshotBuilder
  readonly held: HeldDocuments
  readonly log: ILogService
  readonly metrics: IMetricsService
  readonly invariants: IInvariantService
}

/** Applies each version completely or not at all. Only the newest version of a service can wait to be applied. */
export class SnapshotService implements ISnapshotService {
  private readonly _options: ISnapshotServiceOptions
  private readonly _invariants: SnapshotInvariants
  private readonly _onReplaced = new Emitter<ISnapshot>()
  private readonly _rejected: Counter
  private readonly _replacedAt: Gauge
  private _current: ISnapshot
  private _rejections: readonly IRejection[] = []

  constructor (options: ISnapshotServiceOptions) {
    this._options = options
    this._current = options.builder.empty
    this._invariants = new SnapshotInvariants(options.invariants)
    this._rejected = new Counter({
      name: 'savoryknot_versions_rejected_total',
      help: 'Versions that were not applied. Unit: versions.',
      registers: [options.metrics.registry]
    })
    this._replacedAt = new Gauge({
      name: 'savoryknot_snapshot_replaced_timestamp_milliseconds',
      help: 'When the snapshot in force was replaced last. Unit: milliseconds since the Unix epoch.',
      registers: [options.metrics.registry]
    })
  }

  public get current (): ISnapshot {
    return this._current
  }

  public get onReplaced (): IEvent<ISnapshot> {
    return this._onReplaced.event
  }

  public get rejections (): readonly IRejection[] {
    return this._rejections
  }

  public applyNewer (versions: readonly IVersionedText[], now: Timestamp): void {
    const added = this._options.held.add(versions)
    if (added.length === 0) return
    // The versions are announced before the snapshot is built, so that its build time does not delay their distribution.
    this._options.held.notifyAdded(added)
    this._apply(now)
  }

  private _apply (now: Timestamp): void {
    const previous = this._current
    const candidates = this._candidates(previous)
    const build = this._options.builder.build(previous, candidates)
    this._recordRejections(build.rejections)
    if (build.snapshot === previous) return
    if (!this._invariants.check(previous, build.snapshot, candidates)) return
    this._current = build.snapshot
    this._replacedAt.set(now)
    this._options.log.log(SNAPSHOT_REPLACED, { step: 'snapshot.replace', candidates: candidates.length, rejected: build.rejections.length })
    this._onReplaced.fire(build.snapshot)
  }

  /** Stored versions that are newer than the active versions. */
  private _candidates (snapshot: ISnapshot): readonly IVersionedText[] {
    const candidates: IVersionedText[] = []
    for (const held of this._options.held.all) {
      const version = snapshot.documents.get(held.service)?.version ?? 0
      if (held.version > version) candidates.push(held)
    }
    return candidates
  }

  private _recordRejections (rejections: readonly IRejection[]): void {
    const known = new Set(this._rejections.map(keyOf))
    this._rejections = rejections
    for (const rejection of rejections) {
      if (!known.has(keyOf(rejection))) this._logRejection(rejection)
    }
  }

  private _logRejection (rejection: IRejection): void {
    const { service, version } = rejection.entry
    if (!rejection.isWaiting) this._rejected.inc()
    const event = rejection.isWaiting ? VERSION_WAITING : VERSION_REJECTED
    this._options.log.log(event, { step: 'snapshot.build', service, version, reason: rejection.reason })
  }
}

/** Identity of a rejection; each rejection is logged and counted once. */
function keyOf (rejection: IRejection): string {
  return `${rejection.entry.service} ${rejection.entry.version} ${rejection.reason}`
}
