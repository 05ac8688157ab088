/** Reading of the change log while the store fails, roles change and responses are lost. */
import { expect } from 'chai'
import * as fc from 'fast-check'
import { StoreGroup } from '../../testing/distribution/StoreNode.js'
import { AcceptanceFixture } from '../../testing/documents/AcceptanceFixture.js'
import { writeDocument } from '../../testing/documents/DocumentText.js'
import type { Milliseconds } from '../common/Types.js'
import { hashContent } from '../common/Ids.js'
import { textObjectKey } from '../documents/store/Tables.js'
import { OutcomeUnknownError } from '../platform/PlatformErrors.js'

const SEED = 20_261_204
const MINUTE_MS = 60_000

/** Text of a version of service `alpha`. */
function textOf (version: number): string {
  return writeDocument({ service: 'alpha', note: `version ${version}` })
}

describe('SourceReader', () => {
  let group: StoreGroup

  beforeEach(() => { group = new StoreGroup(new AcceptanceFixture(SEED)) })
  afterEach(() => group.stop())

  /** Assigns the role of reader to the nodes at these positions, in the order of their rank. */
  function setReaders (...positions: number[]): void {
    group.members.holders.set('source-reader', positions.map((position) => group.nodes[position].options.record.id))
  }

  it('keeps the old version while the store is unavailable, and then applies the versions that were accepted meanwhile', async () => {
    const node = group.add()
    setReaders(0)
    await group.accept({ service: 'alpha', expected: 0, text: textOf(1) })
    node.start()
    await group.run(2_000)
    node.platformAccess.faults.set({ isDown: true })
    for (let version = 1; version <= 4; version++) await group.accept({ service: 'alpha', expected: version, text: textOf(version + 1) })
    await group.run(3 * MINUTE_MS)
    expect(node.inForce).to.equal('alpha=1')
    expect(node.platformAccess.faults.counts.refused, 'a backoff must bound the attempts').to.be.lessThan(240)
    node.platformAccess.faults.clear()
    await group.run(5_000)
    expect(node.inForce).to.equal('alpha=5')
    expect(node.countEvents('source-unavailable')).to.equal(1)
    expect(node.countEvents('source-recovered')).to.equal(1)
  })

  it('reads an accepted version although the response to its submission was lost', async () => {
    const node = group.add()
    setReaders(0)
    node.start()
    await group.run(1_000)
    group.writer.faults.set({ lostAnswers: 1 })
    const outcome = await group.accept({ service: 'alpha', expected: 0, text: textOf(1) }).catch((error: unknown) => error)
    await group.run(3_000)
    expect(outcome === undefined || outcome instanceof OutcomeUnknownError).to.equal(true)
    expect(node.inForce).to.equal('alpha=1')
  })

  it('reads each body once through the first reader, and through the second one if the store is unavailable to the first', async () => {
    for (let count = 0; count < 2; count++) group.add()
    group.connect(0, 1)
    setReaders(0, 1)
    for (const node of group.nodes) node.start()
    await group.run(2_000)
    await group.accept({ service: 'alpha', expected: 0, text: textOf(1) })
    await group.run(4_000)
    const bodies = await Promise.all(group.nodes.map((node) => node.metrics.registry.getSingleMetricAsString('savoryknot_source_bodies_total')))
    expect(bodies.map((text) => Number(text.trim().split(' ').at(-1)))).to.deep.equal([1, 0])
    group.nodes[0].platformAccess.faults.set({ isDown: true })
    await group.accept({ service: 'alpha', expected: 1, text: textOf(2) })
    await group.run(4_000)
    expect(group.inForce).to.deep.equal(['alpha=2', 'alpha=2'])
  })

  it('continues after a call to which the store does not respond, and after a text that the store lacks', async () => {
    const node = group.add()
    setReaders(0)
    node.start()
    await group.run(1_000)
    node.platformAccess.faults.set({ delay: 3_600_000 as Milliseconds })
    await group.accept({ service: 'alpha', expected: 0, text: textOf(1) })
    await group.accept({ service: 'beta', expected: 0, text: writeDocument({ service: 'beta' }) })
    await group.fixture.platform.plainObjects.delete(textObjectKey(hashContent(textOf(1))))
    await group.run(4_000)
    node.platformAccess.faults.clear()
    await group.run(12_000)
    expect(node.inForce).to.equal('beta=1')
    expect(node.countEvents('source-body-missing')).to.be.greaterThan(0)
  })

  it('reaches the newest version after any sequence of role changes, store failures and lost messages', async () => {
    const step = fc.oneof(
      fc.record({ kind: fc.constant('accept' as const) }),
      fc.record({ kind: fc.constant('readers' as const), positions: fc.subarray([0, 1, 2]) }),
      fc.record({ kind: fc.constant('store' as const), position: fc.nat(2), isDown: fc.boolean(), lostAnswers: fc.constantFrom(0, 0.5) }),
      fc.record({ kind: fc.constant('run' as const), duration: fc.integer({ min: 20, max: 1_500 }), loss: fc.constantFrom(0, 0.3, 1) })
    )
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 25 }), async (steps) => {
      const fixture = new AcceptanceFixture(SEED)
      const trial = new StoreGroup(fixture)
      for (let count = 0; count < 3; count++) trial.add()
      trial.connect(0, 1)
      trial.connect(1, 2)
      for (const node of trial.nodes) node.start()
      let version = 0
      for (const each of steps) {
        if (each.kind === 'accept') await trial.accept({ service: 'alpha', expected: version, text: textOf(++version) })
        else if (each.kind === 'readers') trial.members.holders.set('source-reader', each.positions.map((position) => trial.nodes[position].options.record.id))
        else if (each.kind === 'store') trial.nodes[each.position].platformAccess.faults.set({ isDown: each.isDown, lostAnswers: each.lostAnswers })
        else await trial.run(each.duration, () => fixture.random.fraction() < each.loss)
      }
      await trial.accept({ service: 'alpha', expected: version, text: textOf(++version) })
      trial.members.holders.set('source-reader', [trial.nodes[2].options.record.id])
      for (const node of trial.nodes) node.platformAccess.faults.clear()
      await trial.run(10_000)
      await trial.stop()
      expect(trial.inForce).to.deep.equal(Array(3).fill(`alpha=${version}`))
      expect(trial.nodes.map((node) => [node.hasVersionDecreased, node.invariants.breaches])).to.deep.equal(Array(3).fill([false, 0]))
    }), { seed: SEED, numRuns: 12 })
  })
})
