/** Reports count every member with an active version, and never more members than have it active. */
import { expect } from 'chai'
import * as fc from 'fast-check'
import { StoreGroup } from '../../../testing/distribution/StoreNode.js'
import { AcceptanceFixture } from '../../../testing/documents/AcceptanceFixture.js'
import { versionOf, writeDocument } from '../../../testing/documents/DocumentText.js'
import type { IVersionedText } from '../../documents/Types.js'
import type { ServiceName, Timestamp } from '../../common/Types.js'
import type { IDomainReport } from '../Services.js'

const SEED = 20_261_204
const ALPHA = 'alpha' as ServiceName

/** Version `version` of service `alpha`. */
function alpha (version: number): IVersionedText {
  return versionOf('alpha', version, writeDocument({ service: 'alpha', note: String(version) }))
}

/** Members by version of `alpha`, as `version:members`. */
function describeReport (report: IDomainReport): string {
  const service = report.services.find((candidate) => candidate.service === 'alpha')
  const versions = service?.versions.map(({ version, members }) => `${version}:${members}`).join(' ') ?? 'none'
  return `${report.failureDomain} ${report.isHeard ? 'heard' : 'not heard'} ${report.members} members, ${versions}`
}

/** Nodes connected in a chain; the first node is the collector. */
function createGroup (count: number, seed = SEED): StoreGroup {
  const group = new StoreGroup(new AcceptanceFixture(seed))
  for (let position = 0; position < count; position++) {
    const node = group.add()
    node.announce.start()
    node.reports.start()
    if (position > 0) group.connect(position - 1, position)
  }
  group.members.holders.set('report-collector', [group.nodes[0].options.record.id])
  return group
}

describe('ReportService', () => {
  let group: StoreGroup

  afterEach(() => group.stop())

  /** Descriptions of the reports as the last node reads them. */
  async function read (): Promise<string[]> {
    const reports = await group.nodes[group.nodes.length - 1].reports.read(group.fixture.clock.now())
    return reports.map(describeReport)
  }

  it('counts every member over several hops, writes at most once per second, and continues after a change of the collector', async () => {
    group = createGroup(5)
    group.nodes[0].applyNewer(alpha(1))
    await group.run(6_000)
    const counts = [await read()]
    const before = group.nodes[0].platformAccess.faults.counts.writes
    for (let version = 2; version < 22; version++) {
      group.nodes[4].applyNewer(alpha(version))
      await group.run(100)
    }
    await group.run(3_000)
    expect(group.nodes[0].platformAccess.faults.counts.writes - before).to.be.lessThan(7)
    counts.push(await read())
    group.members.holders.set('report-collector', [group.nodes[2].options.record.id])
    await group.run(12_000)
    counts.push(await read())
    expect(counts.flat()).to.deep.equal(['one heard 5 members, 1:5', 'one heard 5 members, 21:5', 'one heard 5 members, 21:5'])
    expect(group.nodes[2].platformAccess.faults.counts.writes).to.be.greaterThan(0)
  })

  it('lists the nodes that rejected a version with the reason, and counts these nodes for the older version in force', async () => {
    group = createGroup(3)
    group.nodes[0].applyNewer(alpha(1))
    await group.run(1_000)
    group.nodes[2].applyNewer(versionOf('alpha', 2, 'format = 9'))
    await group.run(8_000)
    const [report] = await group.nodes[1].reports.read(group.fixture.clock.now())
    expect(describeReport(report)).to.equal('one heard 3 members, 1:3')
    expect(report.services[0].rejections.map(({ node, version }) => `${node} ${version}`).sort()).to.deep.equal(['node-0 2', 'node-1 2', 'node-2 2'])
    expect(report.services[0].rejections[0].reason).to.contain('invalid document')
  })

  it('reports a failure domain as not heard and without versions once its status is old or the store cannot be read', async () => {
    group = createGroup(2)
    const far = group.add('two', 'west')
    group.nodes[0].applyNewer(alpha(1))
    await group.run(4_000)
    const before = await read()
    group.nodes[0].platformAccess.faults.set({ isDown: true })
    await group.run(20_000)
    const outdated = await read()
    far.platformAccess.faults.set({ isDown: true })
    const unreadable = await read()
    group.nodes[0].platformAccess.faults.clear()
    far.platformAccess.faults.clear()
    await group.run(3_000)
    expect([...before, ...outdated, ...unreadable, ...await read()]).toMatchSnapshot()
  })

  it('adds burn counts exactly once if responses of the store are lost and two collectors write', async () => {
    group = createGroup(4)
    for (const node of group.nodes) node.platformAccess.faults.set({ lostAnswers: 0.5 })
    await group.run(5_000)
    const minute = Math.floor(group.fixture.clock.now() / 60_000) * 60_000 as Timestamp
    for (let round = 0; round < 10; round++) {
      for (const node of group.nodes) node.reports.addBurn([{ service: ALPHA, minute, good: 10, bad: 1 }], group.fixture.clock.now())
      if (round === 5) group.members.holders.set('report-collector', [group.nodes[2].options.record.id])
      await group.run(4_000)
    }
    // The earlier collector becomes the collector again, so that it writes the counts that it could not write before.
    group.members.holders.set('report-collector', [group.nodes[0].options.record.id])
    await group.run(120_000)
    group.members.holders.set('report-collector', [group.nodes[2].options.record.id])
    for (const node of group.nodes) node.platformAccess.faults.clear()
    await group.run(120_000)
    const [report] = await group.nodes[1].reports.read(group.fixture.clock.now())
    const sum = report.burn.reduce((total, count) => ({ good: total.good + count.good, bad: total.bad + count.bad }), { good: 0, bad: 0 })
    expect(sum).to.deep.equal({ good: 400, bad: 40 })
  })

  it('never counts more members for a version than have it in force while messages are lost, and finally counts all members', async () => {
    const step = fc.oneof(
      fc.record({ kind: fc.constant('offer' as const), position: fc.nat(3) }),
      fc.record({ kind: fc.constant('collector' as const), position: fc.nat(3) }),
      fc.record({ kind: fc.constant('run' as const), duration: fc.integer({ min: 20, max: 3_000 }), loss: fc.constantFrom(0, 0.3, 0.9) })
    )
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 20 }), async (steps) => {
      const trial = createGroup(4)
      const holders = trial.nodes.map((node) => node.options.record.id)
      let version = 0
      for (const each of steps) {
        if (each.kind === 'offer') trial.nodes[each.position].applyNewer(alpha(++version))
        else if (each.kind === 'collector') trial.members.holders.set('report-collector', [holders[each.position]])
        else await trial.run(each.duration, () => trial.fixture.random.fraction() < each.loss)
        await expectNotAhead(trial)
      }
      await trial.run(40_000)
      const [report] = await trial.nodes[0].reports.read(trial.fixture.clock.now())
      await trial.stop()
      if (version > 0) expect(describeReport(report)).to.equal(`one heard 4 members, ${version}:4`)
      expect(trial.nodes.every((node) => node.invariants.breaches === 0)).to.equal(true)
    }), { seed: SEED, numRuns: 10 })
    group = createGroup(1)
  })
})

/** For each version, expects at most as many members counted with this or a higher version as there are nodes on which it is active. */
async function expectNotAhead (trial: StoreGroup): Promise<void> {
  const [report] = await trial.nodes[0].reports.read(trial.fixture.clock.now())
  const inForce = trial.nodes.map((node) => node.snapshots.current.documents.get(ALPHA)?.version ?? 0)
  for (const { version } of report.services[0]?.versions ?? []) {
    const counted = report.services[0].versions.filter((each) => each.version >= version).reduce((sum, each) => sum + each.members, 0)
    expect(counted).to.be.at.most(inForce.filter((each) => each >= version).length)
  }
}
