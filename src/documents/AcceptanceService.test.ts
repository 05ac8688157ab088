/** Acceptance: conflicts, retries, references, ownership, lost responses, outages and contention. */
import { expect } from 'chai'
import { AcceptanceFixture, describeOutcome, type ISubmissionDraft, type IWriter } from '../../testing/documents/AcceptanceFixture.js'
import { writeDocument } from '../../testing/documents/DocumentText.js'
import { advanceUntilSettled } from '../../testing/AdvanceUntilSettled.js'
import { OutcomeUnknownError, PlatformUnavailableError } from '../platform/PlatformErrors.js'
import type { ChangeSequence, ServiceName, Timestamp } from '../common/Types.js'
import { MalformedRowError } from './store/Rows.js'
import { documentRow } from './store/Tables.js'

const SEED = 20_261_204
const STATUS = writeDocument({ service: 'status' })
const FEES = writeDocument({ service: 'fees', targets: ['status/endpoints'] })

describe('AcceptanceService', () => {
  let fixture: AcceptanceFixture
  let writer: IWriter

  beforeEach(() => {
    fixture = new AcceptanceFixture(SEED)
    writer = fixture.connect()
  })

  async function submit (draft: ISubmissionDraft, through = writer): Promise<string> {
    return describeOutcome(await fixture.submit(through, draft))
  }

  /** Submits and returns the error. */
  async function fail (draft: ISubmissionDraft): Promise<unknown> {
    return await fixture.submit(writer, draft).catch((error: unknown) => error)
  }

  it('numbers accepted versions consecutively and keeps their history and texts', async () => {
    const changed = writeDocument({ service: 'status', note: 'second' })
    await submit({ service: 'status', text: STATUS, expected: 0 })
    await submit({ service: 'status', text: changed, expected: 1 })
    await submit({ service: 'status', expected: 2 })
    await submit({ service: 'status', text: STATUS, expected: 3 })
    const history = await fixture.accepted.readHistory('status' as ServiceName, 10)
    expect(history.map(({ version, sequence, isTombstone }) => ({ version, sequence, isTombstone }))).toMatchSnapshot()
    expect(await fixture.accepted.readText(history[2].hash)).to.equal(changed)
    expect(await fixture.accepted.readVersion('status' as ServiceName, history[1].version)).to.deep.equal(history[1])
    expect(await fixture.accepted.readNewest('status' as ServiceName)).to.deep.equal(history[0])
    expect(await fixture.accepted.changesAfter(1 as ChangeSequence, 2)).to.deep.equal([history[2], history[1]])
    expect(await fixture.accepted.readAll()).to.deep.equal({ sequence: 4, changes: [history[0]] })
  })

  it('reports a conflict with the current version if a submission expects another one', async () => {
    await submit({ service: 'status', text: STATUS, expected: 0 })
    expect(await submit({ service: 'status', text: writeDocument({ service: 'status', note: 'other' }), expected: 0 })).to.equal('conflict with 1')
    expect(await submit({ service: 'status', text: STATUS, expected: 7 })).to.equal('conflict with 1')
    expect(await submit({ service: 'fees', text: FEES, expected: 1 })).to.equal('conflict with nothing')
    expect(await submit({ service: 'fees', expected: 1 })).to.equal('conflict with nothing')
  })

  it('accepts one version only when a submission is retried, under the same or another id', async () => {
    const first = { service: 'status', text: STATUS, expected: 0, id: 'one' }
    expect(await submit(first)).to.equal('accepted 1')
    expect(await submit(first)).to.equal('accepted 1 again')
    expect(await submit({ ...first, id: 'two' })).to.equal('accepted 1 again')
    await submit({ service: 'status', text: writeDocument({ service: 'status', note: 'second' }), expected: 1 })
    expect(await submit(first)).to.equal('accepted 1 again')
    expect(await submit({ ...first, id: 'three' })).to.equal('conflict with 2')
    expect(await submit({ service: 'fees', text: writeDocument({ service: 'fees' }), expected: 1, id: 'one' })).to.include('submission id was used')
    expect(await submit({ service: 'status', text: STATUS, expected: 2, id: 'one' })).to.equal('accepted 1 again')
  })

  it('refuses an invalid submission without reading the store', async () => {
    expect(await submit({ service: 'status', expected: 0 })).to.include('cannot be deleted')
    expect(await submit({ service: 'fees', text: STATUS, expected: 0 })).to.include('document is of service status')
    expect(await submit({ service: 'status', text: 'nonsense', expected: 0 })).to.include('stray line')
    const hostile = { ...fixture.toSubmission({ service: '../status', expected: -1, id: 'a\nb' }), author: 'x'.repeat(1_000) }
    const outcome = await writer.acceptance.submit(hostile, fixture.clock.now())
    expect(outcome.kind === 'invalid' && outcome.faults).to.have.length(4)
    expect(writer.faults.counts).to.deep.include({ reads: 0, writes: 0 })
  })

  it('refuses references to missing, not exported or deleted resources, and the removal of referenced resources', async () => {
    const lines: string[] = []
    const step = async (draft: ISubmissionDraft): Promise<void> => { lines.push(await submit(draft)) }
    await step({ service: 'fees', text: FEES, expected: 0 })
    await step({ service: 'status', text: STATUS.replace('exported = yes', 'exported = no'), expected: 0 })
    await step({ service: 'fees', text: FEES, expected: 0 })
    await step({ service: 'status', text: STATUS, expected: 1 })
    await step({ service: 'fees', text: FEES, expected: 0 })
    await step({ service: 'status', text: writeDocument({ service: 'status', pools: ['others'] }), expected: 2 })
    await step({ service: 'status', text: STATUS.replace('exported = yes', 'exported = no'), expected: 2 })
    await step({ service: 'status', expected: 2 })
    await step({ service: 'fees', expected: 1 })
    await step({ service: 'status', expected: 2 })
    await step({ service: 'status', expected: 3 })
    await step({ service: 'fees', text: FEES, expected: 2 })
    expect(lines).toMatchSnapshot()
  })

  it('lets only the owning team change a document, also after a deletion', async () => {
    const ours = { service: 'status', text: STATUS, expected: 0, team: 'permits' }
    expect(await submit({ ...ours, team: 'others' })).to.include('forbidden')
    expect(await submit(ours)).to.equal('accepted 1')
    const taken = writeDocument({ service: 'status', owner: 'others' })
    expect(await submit({ service: 'status', text: taken, expected: 1, team: 'others' })).to.include('forbidden')
    expect(await submit({ service: 'status', expected: 1, team: 'others' })).to.include('forbidden')
    expect(await submit({ service: 'status', expected: 1, team: 'permits' })).to.equal('accepted 2')
    expect(await submit({ service: 'status', text: taken, expected: 2, team: 'others' })).to.include('forbidden')
    expect(await submit({ service: 'status', text: taken, expected: 2, team: 'permits' })).to.equal('accepted 3')
    expect(await submit({ service: 'status', text: STATUS, expected: 3, team: 'permits' })).to.include('forbidden')
  })

  it('finds the accepted version by the row of the submission when the response of the store was lost', async () => {
    writer.faults.set({ lostAnswers: 1 })
    expect(await submit({ service: 'status', text: STATUS, expected: 0 })).to.equal('accepted 1 again')
    expect((await fixture.accepted.readAll()).sequence).to.equal(1)
  })

  it('reports an unknown outcome only if a transaction may have been committed', async () => {
    const draft = { service: 'status', text: STATUS, expected: 0, id: 'one' }
    writer.faults.set({ isDown: true })
    expect(await fail(draft)).to.be.instanceOf(PlatformUnavailableError)
    writer.faults.set({ isDown: false, lostRequests: 1 })
    expect(await fail(draft)).to.be.instanceOf(OutcomeUnknownError)
    writer.faults.clear()
    expect(await submit(draft)).to.equal('accepted 1')
  })

  it('reports an unknown outcome when the store becomes unavailable after a lost response', async () => {
    const draft = { service: 'status', text: STATUS, expected: 0, id: 'one' }
    writer.faults.set({ delay: 10 as never, lostAnswers: 1 })
    const task = fixture.start(writer, draft).catch((error: unknown) => error)
    // The response to storing the text is lost at 20 ms, and the text is stored again later; the transaction follows.
    while ((await fixture.accepted.readAll()).sequence === 0) await fixture.clock.advance(1)
    writer.faults.set({ isDown: true })
    expect(await advanceUntilSettled(fixture.clock, task)).to.be.instanceOf(OutcomeUnknownError)
    writer.faults.clear()
    expect(await submit(draft)).to.equal('accepted 1 again')
  })

  for (const isHeadUnchecked of [false, true]) {
    // Without the condition on the head of the change log, the conditions on documents and references must suffice.
    it(`accepts only one of two concurrent, incompatible submissions${isHeadUnchecked ? ' without the condition on the head of the change log' : ''}`, async () => {
      const rivals: ReadonlyArray<readonly [ISubmissionDraft, ISubmissionDraft]> = [
        [{ service: 'fees', text: FEES, expected: 0 }, { service: 'status', expected: 1 }],
        [{ service: 'fees', text: FEES, expected: 0 }, { service: 'status', text: writeDocument({ service: 'status', pools: [] }), expected: 1 }],
        [{ service: 'status', text: writeDocument({ service: 'status', note: 'left' }), expected: 1 }, { service: 'status', expected: 1 }]
      ]
      for (let round = 0; round < 90; round++) {
        fixture = new AcceptanceFixture(SEED + round)
        await submit({ service: 'status', text: STATUS, expected: 0 }, fixture.connect())
        const tasks = rivals[round % rivals.length].map((draft) => {
          const racer = fixture.connect(isHeadUnchecked)
          racer.faults.set({ delay: 1 + fixture.random.integer(9) as never })
          return fixture.start(racer, draft)
        })
        const outcomes = await advanceUntilSettled(fixture.clock, Promise.all(tasks))
        expect(outcomes.filter(({ kind }) => kind === 'accepted')).to.have.length(1)
      }
    })
  }

  it('accepts each of a hundred documents once when ten nodes submit them concurrently', async () => {
    const writers = Array.from({ length: 10 }, () => fixture.connect())
    for (const { faults } of writers) faults.set({ delay: 2 as never })
    const tasks = Array.from({ length: 100 }, (_, position) => {
      const service = `service-${position}`
      return fixture.start(writers[position % 10], { service, text: writeDocument({ service }), expected: 0 })
    })
    const outcomes = await advanceUntilSettled(fixture.clock, Promise.allSettled(tasks))
    const accepted = outcomes.filter((outcome) => outcome.status === 'fulfilled')
    expect(accepted).to.have.length(100)
    expect((await fixture.accepted.readAll()).sequence).to.equal(100)
  })

  it('rounds a fractional time of the clock, and writes nothing if the time is not a number', async () => {
    const submission = fixture.toSubmission({ service: 'status', text: STATUS, expected: 0 })
    const outcome = await advanceUntilSettled(fixture.clock, writer.acceptance.submit(submission, 1_700_000_000_000.25 as Timestamp))
    expect(outcome.kind === 'accepted' && outcome.change.acceptedAt).to.equal(1_700_000_000_000)
    const impossible = fixture.toSubmission({ service: 'fees', text: FEES, expected: 0 })
    const error = await advanceUntilSettled(
      fixture.clock, writer.acceptance.submit(impossible, NaN as Timestamp).catch((reason: unknown) => reason)
    )
    expect(error).to.be.instanceOf(MalformedRowError)
    expect((await fixture.accepted.readAll()).changes).to.have.length(1)
  })

  it('keeps accepting when rows written by newer software have unknown fields and kinds of resources', async () => {
    await submit({ service: 'status', text: STATUS, expected: 0 })
    const reference = documentRow('status' as ServiceName)
    const row = await fixture.platform.plainTable.read(reference)
    const value = { ...JSON.parse(row?.value ?? ''), future: {} }
    value.exports.push({ kind: 'cache', resource: 'answers', size: 1 })
    await fixture.platform.plainTable.transact({ conditions: [], writes: [{ ...reference, value: JSON.stringify(value) }] })
    expect((await fixture.accepted.readAll()).changes).to.have.length(1)
    expect(await submit({ service: 'fees', text: FEES, expected: 0 })).to.equal('accepted 1')
    expect(await submit({ service: 'status', text: writeDocument({ service: 'status', note: 'b' }), expected: 1 })).to.equal('accepted 2')
  })

  it('needs two reads and two writes to accept a change without new references', async () => {
    await submit({ service: 'status', text: STATUS, expected: 0 })
    await submit({ service: 'fees', text: FEES, expected: 0 })
    writer.faults.resetCounts()
    await submit({ service: 'fees', text: writeDocument({ service: 'fees', targets: ['status/endpoints'], note: 'b' }), expected: 1 })
    expect(writer.faults.counts).to.deep.include({ reads: 2, writes: 2 })
  })
})
