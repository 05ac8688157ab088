/** Checkpoints and trimming of the change log: readers at any position recover, and concurrent writers and lost responses do no harm. */
import { expect } from 'chai'
import fc from 'fast-check'
import { AcceptanceFixture, type IWriter } from '../../testing/documents/AcceptanceFixture.js'
import { writeDocument } from '../../testing/documents/DocumentText.js'
import { advanceUntilSettled } from '../../testing/AdvanceUntilSettled.js'
import { Emitter } from '../common/Emitter.js'
import type { ChangeSequence, Milliseconds } from '../common/Types.js'
import type { IPlatformFaultSettings } from '../../testing/platform/PlatformFaults.js'
import type { IObjectStore } from '../platform/Services.js'
import { AcceptedDocuments } from './AcceptedDocuments.js'
import { CheckpointService, type ICheckpointOptions } from './CheckpointService.js'
import { CheckpointStore } from './store/CheckpointStore.js'
import { CHANGES_TABLE, CHECKPOINT_OBJECT, FIRST_KEY, SUBMISSIONS_TABLE } from './store/Tables.js'
import type { IAcceptedChange } from './Types.js'

const SEED = 20_261_204
const EVERYTHING = 10_000
const SETTLE_MS = 5_000
const SMALL: ICheckpointOptions = { interval: 4, retainedChanges: 3, trimBatch: 2 }

describe('CheckpointService', () => {
  let fixture: AcceptanceFixture
  let writer: IWriter

  beforeEach(() => {
    fixture = new AcceptanceFixture(SEED)
    writer = fixture.connect()
  })

  /** A checkpoint service with its own connection to the platform. */
  function connect (options = SMALL): { readonly service: CheckpointService, readonly faults: IWriter['faults'] } {
    const { table, objects, faults } = fixture.platform.connect()
    const { event: onAccepted } = new Emitter<IAcceptedChange>()
    return { service: new CheckpointService({ table, objects, log: fixture.log, onAccepted }, options), faults }
  }

  /** Accepts `count` changes of three services, one service after the other. */
  async function accept (count: number): Promise<void> {
    for (let position = 0; position < count; position++) {
      const service = `service-${position % 3}`
      const present = await fixture.accepted.readNewest(service as never)
      const expected = present?.version ?? 0
      await fixture.submit(writer, { service, text: writeDocument({ service, note: String(expected) }), expected })
    }
  }

  async function logSequences (): Promise<number[]> {
    const rows = await fixture.platform.plainTable.scan({ table: CHANGES_TABLE, fromKey: FIRST_KEY, limit: EVERYTHING })
    return rows.map(({ key }) => Number(key))
  }

  it('writes the accepted set and trims old changes and submissions', async () => {
    const { service } = connect()
    await accept(10)
    expect(await service.write()).to.equal('written')
    expect(await service.write()).to.equal('up-to-date')
    expect(await logSequences()).to.deep.equal([8, 9, 10])
    const submissions = await fixture.platform.plainTable.scan({ table: SUBMISSIONS_TABLE, fromKey: FIRST_KEY, limit: EVERYTHING })
    expect(submissions).to.have.length(3)
    const { sequence, changes, texts } = await fixture.accepted.readAll()
    expect(sequence).to.equal(10)
    expect(changes).to.have.deep.members((await fixture.accepted.readTable()).changes)
    for (const { hash } of changes) expect(texts?.get(hash)).to.equal(await fixture.accepted.readText(hash))
  })

  it('writes a checkpoint in the process that accepts a change for which one is due', async () => {
    const { table, objects } = fixture.platform
    const { onAccepted } = writer.acceptance
    const service = new CheckpointService({ table, objects, log: fixture.log, onAccepted }, SMALL)
    await accept(9)
    await advanceUntilSettled(fixture.clock, service.stop())
    await accept(4)
    // Due after change 8; change 9 was accepted while it was written.
    expect((await new CheckpointStore(objects).read()).checkpoint?.sequence).to.be.within(8, 9)
    expect(fixture.log.events.filter(({ name }) => name === 'checkpoint-written')).to.have.length(2)
  })

  it('lets a reader start with the same number of reads after a long history as after a short one', async () => {
    const costs: unknown[] = []
    for (const count of [10, 40, 160]) {
      await accept(count)
      await connect().service.write()
      const reader = fixture.platform.connect()
      await new AcceptedDocuments(reader).readAll()
      costs.push(reader.faults.counts.reads)
    }
    expect(costs).to.deep.equal([2, 2, 2])
  })

  it('lets readers fall back to the rows of the services if the checkpoint is damaged', async () => {
    await accept(10)
    await connect().service.write()
    const expected = await fixture.accepted.readTable()
    const objects = fixture.platform.plainObjects
    for (const content of ['', 'nonsense', '\u0000'.repeat(100)]) {
      await objects.put(CHECKPOINT_OBJECT, Buffer.from(content), 'any')
      const reader = new AcceptedDocuments({ table: fixture.platform.plainTable, objects, log: fixture.log })
      expect(await reader.readAll()).to.deep.equal(expected)
      expect((await reader.changesAfter(2 as ChangeSequence, EVERYTHING)).map(({ sequence }) => sequence)).to.deep.equal([8, 9, 10])
    }
    expect(fixture.log.events.map(({ name }) => name)).to.include('checkpoint-unreadable')
    expect(await connect().service.write()).to.equal('written')
  })

  it('lets a reader recover if the checkpoint is replaced and the log trimmed while the reader uses the old checkpoint', async () => {
    await accept(10)
    await connect().service.write()
    const { plainTable: table, plainObjects } = fixture.platform
    const objects: IObjectStore = {
      get: async (key) => {
        const stored = await plainObjects.get(key)
        await fixture.submit(writer, { service: 'rare', text: writeDocument({ service: 'rare' }), expected: 0 })
        await accept(10)
        await connect().service.write()
        return stored
      },
      put: (key, content, condition) => plainObjects.put(key, content, condition),
      delete: (key) => plainObjects.delete(key)
    }
    const { sequence, changes } = await new AcceptedDocuments({ table, objects }).readAll()
    expect(sequence).to.equal(21)
    expect(changes).to.have.deep.members((await fixture.accepted.readTable()).changes)
    expect(await logSequences()).to.deep.equal([19, 20, 21])
  })

  it('lets a reader that lags behind the trimmed log catch up in pages', async () => {
    await accept(12)
    await connect().service.write()
    let after = 1 as ChangeSequence
    const seen: number[] = []
    for (;;) {
      const [change] = await fixture.accepted.changesAfter(after, 1)
      if (change === undefined) break
      seen.push(change.sequence)
      after = change.sequence
    }
    expect(seen).to.deep.equal([10, 11, 12])
  })

  it('never lowers the sequence of the checkpoint and keeps all readers consistent under concurrent writers and faults of the store', async () => {
    const faults: fc.Arbitrary<Partial<IPlatformFaultSettings>> = fc.record({
      isDown: fc.integer({ min: 0, max: 9 }).map((draw) => draw === 0),
      delay: fc.nat({ max: 20 }).map((delay) => delay as Milliseconds),
      lostAnswers: fc.constantFrom(0, 0.3),
      lostRequests: fc.constantFrom(0, 0.2),
      lateWrites: fc.constantFrom(0, 0.4),
      lateBy: fc.integer({ min: 1, max: 900 }).map((delay) => delay as Milliseconds)
    })
    const round = fc.record({ changes: fc.nat({ max: 6 }), faults: fc.array(faults, { minLength: 1, maxLength: 3 }) })
    const rounds = fc.array(round, { maxLength: 10 })
    await fc.assert(fc.asyncProperty(rounds, fc.integer(), async (steps, seed) => {
      fixture = new AcceptanceFixture(seed)
      writer = fixture.connect()
      let checkpointed = 0
      for (const step of steps) {
        const tasks = step.faults.map((settings) => {
          const { service, faults: own } = connect()
          own.set(settings)
          return service.write()
        })
        await Promise.all([accept(step.changes), advanceUntilSettled(fixture.clock, Promise.allSettled(tasks))])
        const sequence = (await new CheckpointStore(fixture.platform.plainObjects).read()).checkpoint?.sequence ?? 0
        expect(sequence).to.be.at.least(checkpointed)
        checkpointed = sequence
        await checkReaders()
      }
      await fixture.clock.advance(SETTLE_MS)
      await checkReaders()
    }), { seed: SEED, numRuns: 25 })
  })

  /** Checks that a reader at any position learns the newest version of every service that has changed since. */
  async function checkReaders (): Promise<void> {
    const { sequence, changes } = await fixture.accepted.readTable()
    const all = await fixture.accepted.readAll()
    expect(all.sequence).to.equal(sequence)
    expect(all.changes).to.have.deep.members(changes)
    for (let after = 0; after <= sequence; after++) {
      const read = await fixture.accepted.changesAfter(after as ChangeSequence, EVERYTHING)
      const newest = new Map(read.map((change) => [change.service, change]))
      expect([...newest.values()]).to.have.deep.members(changes.filter((change) => change.sequence > after))
    }
  }
})
