/** Distribution services of one node over fake links, with the real snapshot builder and invariants. */
import { InvariantService } from '../../src/common/InvariantService.js'
import { MetricsService } from '../../src/common/MetricsService.js'
import { RandomService } from '../../src/common/RandomService.js'
import type { IClockService } from '../../src/common/Services.js'
import { AnnounceService, type IAnnounceServiceOptions } from '../../src/distribution/AnnounceService.js'
import { HeldDocuments } from '../../src/distribution/HeldDocuments.js'
import { SnapshotService } from '../../src/distribution/SnapshotService.js'
import { DocumentParser } from '../../src/documents/DocumentParser.js'
import type { IDocumentParser } from '../../src/documents/Services.js'
import { SnapshotBuilder } from '../../src/documents/SnapshotBuilder.js'
import type { IVersionedText } from '../../src/documents/Types.js'
import type { INodeRecord } from '../../src/membership/Types.js'
import { RecordingLog } from '../RecordingLog.js'
import type { FakeMembers } from './FakeMembership.js'
import { FakeOverlay } from './FakeNetwork.js'

/** Dependencies of `DistributionNode`. */
export interface IDistributionNodeOptions {
  readonly record: INodeRecord
  readonly members: FakeMembers
  readonly clock: IClockService
  readonly seed: number
  /** Parser of another software version; the current parser if omitted. */
  readonly parser?: IDocumentParser
  readonly announce?: Partial<IAnnounceServiceOptions>
}

/** Records whether an active version was ever replaced by a lower version. */
export class DistributionNode {
  public readonly log = new RecordingLog()
  public readonly metrics = new MetricsService()
  public readonly invariants = new InvariantService({ log: this.log, metrics: this.metrics })
  public readonly random: RandomService
  public readonly held = new HeldDocuments({ log: this.log })
  public readonly overlay: FakeOverlay
  public readonly snapshots: SnapshotService
  public readonly announce: AnnounceService
  /** True if an active version was ever replaced by a lower version. */
  public hasVersionDecreased = false
  private readonly _highestVersions = new Map<string, number>()

  constructor (public readonly options: IDistributionNodeOptions) {
    const { record, members, clock, seed, parser = new DocumentParser() } = options
    const { log, metrics, invariants, held } = this
    this.random = new RandomService(seed)
    this.overlay = new FakeOverlay(record)
    this.snapshots = new SnapshotService({ builder: new SnapshotBuilder({ parser, invariants }), held, log, metrics, invariants })
    this.snapshots.onReplaced(() => this._observe())
    this.announce = new AnnounceService({
      overlay: this.overlay,
      membership: members.membershipOf(record),
      roles: members.rolesOf(record),
      held,
      snapshots: this.snapshots,
      clock,
      random: this.random,
      log,
      metrics,
      ...options.announce
    })
    members.add(record)
  }

  public applyNewer (...versions: IVersionedText[]): void {
    this.snapshots.applyNewer(versions, this.options.clock.now())
  }

  /** Active versions as `service=version`, sorted. */
  public get inForce (): string {
    const entries = Array.from(this.snapshots.current.documents.values(), ({ service, version }) => `${service}=${version}`)
    return entries.sort().join(' ')
  }

  /** Number of events with this name that were logged so far. */
  public countEvents (name: string): number {
    return this.log.events.filter((event) => event.name === name).length
  }

  private _observe (): void {
    for (const { service, version } of this.snapshots.current.documents.values()) {
      if (version < (this._highestVersions.get(service) ?? 0)) this.hasVersionDecreased = true
      this._highestVersions.set(service, version)
    }
  }
}
