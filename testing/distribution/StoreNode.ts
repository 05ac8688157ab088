/** A distribution node with its own way to a store, its source reader, its catch-up and its reports. */
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

/** One node. */
export class StoreNode extends DistributionNode {
  public readonly way: ReturnType<FaultyPlatform['connect']>
  public readonly source: SourceReader
  public readonly catchUp: CatchUpService
  public readonly reports: ReportService

  constructor (options: DistributionNode['options'], platform: FaultyPlatform) {
    super(options)
    this.way = platform.connect()
    const { record, members, clock } = options
    const { held, snapshots, announce, random, log, metrics, invariants, overlay } = this
    const membership = members.of(record)
    const roles = members.rolesOf(record)
    const accepted = new AcceptedDocuments(this.way)
    const common = { accepted, held, snapshots, announce, membership, roles, clock, random, log, metrics, invariants, overlay }
    this.source = new SourceReader(common)
    this.catchUp = new CatchUpService(common)
    this.reports = new ReportService({ ...common, objects: this.way.objects })
  }

  /** Starts everything but the reports. */
  public start (): void {
    this.announce.start()
    this.catchUp.start()
    this.source.start()
  }
}

/** Nodes around one store, on one clock. */
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

  /** Accepts a version in the store without telling any node. */
  public async accept (draft: ISubmissionDraft): Promise<void> {
    const outcome = await this.fixture.submit(this.writer, draft)
    if (outcome.kind !== 'accepted') throw new Error(`not accepted: ${JSON.stringify(outcome)}`)
  }

  /** Passes time in small steps and delivers everything in order, but for what `loses` names. */
  public async run (duration: number, loses: () => boolean = () => false): Promise<void> {
    for (let passed = 0; passed < duration; passed += 20) {
      await this.fixture.clock.advance(20)
      while (this.network.pending.length > 0) {
        if (loses()) this.network.drop(0)
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
