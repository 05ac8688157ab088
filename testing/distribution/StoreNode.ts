/** A distribution node with its own connection to a store, a source reader, catch-up and reports. */
import { CatchUpService } from '../../src/distribution/CatchUpService.js'
import { ReportService } from '../../src/distribution/reports/ReportService.js'
import { SourceReader } from '../../src/distribution/SourceReader.js'
import { AcceptedDocuments } from '../../src/documents/AcceptedDocuments.js'
import type { ISubmissionDraft, IWriter, AcceptanceFixture } from '../documents/AcceptanceFixture.js'
import type { FaultyPlatform } from '../platform/FaultyPlatform.js'
import { settlePromises } from '../ManualClock.js'
import { DistributionNode } from './DistributionNode.js'
import { createNodeRecord, FakeMembers } from './FakeMembership.js'
import { FakeNetwork } from './FakeNetwork.js'

/** A node whose access to the platform has its own injected faults. */
export class StoreNode extends DistributionNode {
  public readonly platformAccess: ReturnType<FaultyPlatform['connect']>
  public readonly source: SourceReader
  public readonly catchUp: CatchUpService
  public readonly reports: ReportService

  constructor (options: DistributionNode['options'], platform: FaultyPlatform) {
    super(options)
    this.platformAccess = platform.connect()
    const { record, members, clock } = options
    const { held, snapshots, announce, random, log, metrics, invariants, overlay } = this
    const membership = members.membershipOf(record)
    const roles = members.rolesOf(record)
    const accepted = new AcceptedDocuments(this.platformAccess)
    const common = { accepted, held, snapshots, announce, membership, roles, clock, random, log, metrics, invariants, overlay }
    this.source = new SourceReader(common)
    this.catchUp = new CatchUpService(common)
    this.reports = new ReportService({ ...common, objects: this.platformAccess.objects })
  }

  /** Starts all services except the reports. */
  public start (): void {
    this.announce.start()
    this.catchUp.start()
    this.source.start()
  }
}

/** Nodes that share one store and one clock. */
export class StoreGroup {
  public readonly network = new FakeNetwork()
  public readonly members = new FakeMembers()
  public readonly nodes: StoreNode[] = []
  public readonly writer: IWriter

  constructor (public readonly fixture: AcceptanceFixture) {
    this.writer = fixture.connect()
  }

  public add (domain = 'one', region = 'east'): StoreNode {
    const record = createNodeRecord(`node-${this.nodes.length}`, domain, region)
    const node = new StoreNode({ record, members: this.members, clock: this.fixture.clock, seed: this.nodes.length }, this.fixture.platform)
    this.nodes.push(node)
    return node
  }

  public connect (left: number, right: number): void {
    this.network.connect(this.nodes[left].overlay, this.nodes[right].overlay)
  }

  /** Accepts a version in the store without notifying any node. */
  public async accept (draft: ISubmissionDraft): Promise<void> {
    const outcome = await this.fixture.submit(this.writer, draft)
    if (outcome.kind !== 'accepted') throw new Error(`not accepted: ${JSON.stringify(outcome)}`)
  }

  /** Advances the clock in small steps and delivers all messages in order, except those for which `shouldDrop` returns true. */
  public async run (duration: number, shouldDrop: () => boolean = () => false): Promise<void> {
    for (let passed = 0; passed < duration; passed += 20) {
      await this.fixture.clock.advance(20)
      while (this.network.pending.length > 0) {
        if (shouldDrop()) this.network.drop(0)
        else this.network.deliver(0)
      }
      await settlePromises()
    }
  }

  public async stop (): Promise<void> {
    const stopping = this.nodes.flatMap((node) => [node.source.stop(), node.catchUp.stop(), node.reports.stop(), node.announce.stop()])
    await this.fixture.clock.advance(10_000)
    await Promise.all(stopping)
  }

  public get inForce (): string[] {
    return this.nodes.map((node) => node.inForce)
  }
}
