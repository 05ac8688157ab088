/** Compares acceptance with a model of a linear history, under races and faults of the store; all from fixed seeds. */
import { expect } from 'chai'
import fc from 'fast-check'
import { AcceptanceFixture, type ISubmissionDraft, type IWriter } from '../../testing/documents/AcceptanceFixture.js'
import { DocumentModel, proposedChange, proposedText, type IProposedChange } from '../../testing/documents/DocumentHistory.js'
import { versionOf } from '../../testing/documents/DocumentText.js'
import type { IPlatformFaultSettings } from '../../testing/platform/PlatformFaults.js'
import { RecordingLog } from '../../testing/RecordingLog.js'
import { advanceUntilSettled } from '../../testing/AdvanceUntilSettled.js'
import { InvariantService } from '../common/InvariantService.js'
import { MetricsService } from '../common/MetricsService.js'
import { hashContent } from '../common/Ids.js'
import type { ChangeSequence, Milliseconds, SubmissionId } from '../common/Types.js'
import { OutcomeUnknownError, PlatformUnavailableError } from '../platform/PlatformErrors.js'
import { DocumentParser } from './DocumentParser.js'
import { SnapshotBuilder } from './SnapshotBuilder.js'
import { submissionRow } from './store/Tables.js'
import type { IAcceptedChange, SubmissionOutcome } from './Types.js'

const SEED = 20_261_204
const EVERYTHING = 10_000
/** Longer than the delay of any write that takes effect late. */
const SETTLE_MS = 5_000

/** Result of one submission; errors are results too. */
type Result = SubmissionOutcome | { readonly kind: 'unknown' | 'unavailable' }

interface IAttempt {
  readonly draft: ISubmissionDraft & { readonly id: string }
  readonly result: Result
}

const faults: fc.Arbitrary<Partial<IPlatformFaultSettings>> = fc.record({
  isDown: fc.integer({ min: 0, max: 9 }).map((draw) => draw === 0),
  delay: fc.nat({ max: 30 }).map((delay) => delay as Milliseconds),
  lostAnswers: fc.constantFrom(0, 0.3),
  lostRequests: fc.constantFrom(0, 0.2),
  lateWrites: fc.constantFrom(0, 0.3),
  lateBy: fc.integer({ min: 1, max: 900 }).map((delay) => delay as Milliseconds)
})

/** Submissions that run at the same time, each with the faults of its writer and how far its expected version is off the current one. */
const batch = fc.array(
  fc.record({ change: proposedChange, faults, offset: fc.constantFrom(0, 0, 0, -1, 1), isRepeat: fc.boolean() }),
  { minLength: 1, maxLength: 4 }
)

describe('AcceptanceService against a model', () => {
  it('accepts exactly the changes that the model allows when they are submitted one at a time', async () => {
    await fc.assert(fc.asyncProperty(fc.array(proposedChange, { maxLength: 30 }), async (changes) => {
      const fixture = new AcceptanceFixture(SEED)
      const writer = fixture.connect()
      const model = new DocumentModel()
      for (const change of changes) {
        const expected = model.version(change.service)
        if (change.isDeletion && expected === 0) continue
        const draft = { service: change.service, text: proposedText(change, expected + 1), expected }
        const isAllowed = model.allows(change)
        const outcome = await fixture.submit(writer, draft)
        expect(outcome.kind).to.equal(isAllowed ? 'accepted' : 'invalid')
        if (isAllowed) model.apply(change)
      }
      const accepted = await fixture.accepted.changesAfter(0 as ChangeSequence, EVERYTHING)
      expect(accepted.map(({ service, version, hash }) => ({ service, version, hash })))
        .to.deep.equal(model.history.map(({ service, version, hash }) => ({ service, version, hash })))
    }), { seed: SEED, numRuns: 60 })
  })

  it('keeps one linear history without gaps or dangling references under concurrent submissions and faults of the store', async () => {
    const totals = new Map<string, number>()
    await fc.assert(fc.asyncProperty(fc.array(batch, { maxLength: 12 }), fc.integer(), async (batches, seed) => {
      const fixture = new AcceptanceFixture(seed)
      const writers = Array.from({ length: 4 }, () => fixture.connect())
      const attempts: IAttempt[] = []
      for (const submissions of batches) {
        const tasks = submissions.map(async ({ change, faults: settings, offset, isRepeat }, position) => {
          const writer = writers[position]
          writer.faults.set(settings)
          attempts.push(await attempt(fixture, writer, await draftOf(fixture, change, offset, isRepeat, attempts)))
        })
        await advanceUntilSettled(fixture.clock, Promise.all(tasks))
      }
      await fixture.clock.advance(SETTLE_MS)
      for (const { result } of attempts) totals.set(result.kind, (totals.get(result.kind) ?? 0) + 1)
      const history = await fixture.accepted.changesAfter(0 as ChangeSequence, EVERYTHING)
      await checkHistory(fixture, history)
      await checkAttempts(fixture, attempts, history)
    }), { seed: SEED, numRuns: 80 })
    // Every kind of outcome must have occurred, otherwise the property proves little.
    expect([...totals.keys()].sort()).to.deep.equal(['accepted', 'conflict', 'invalid', 'unavailable', 'unknown'])
  })
})

/** A new submission against the current version, or a retry of an earlier one. */
async function draftOf (
  fixture: AcceptanceFixture, change: IProposedChange, offset: number, isRepeat: boolean, attempts: readonly IAttempt[]
): Promise<IAttempt['draft']> {
  const earlier = attempts.filter(({ draft }) => draft.service === change.service)
  if (isRepeat && earlier.length > 0) return earlier[fixture.random.integer(earlier.length)].draft
  const newest = await fixture.accepted.readNewest(change.service as never)
  const expected = Math.max(change.isDeletion ? 1 : 0, (newest?.version ?? 0) + offset)
  const id = String(fixture.random.integer(2 ** 31))
  return { id, service: change.service, expected, text: proposedText(change, fixture.random.integer(2 ** 31)) }
}

async function attempt (fixture: AcceptanceFixture, writer: IWriter, draft: IAttempt['draft']): Promise<IAttempt> {
  try {
    return { draft, result: await fixture.start(writer, draft) }
  } catch (error) {
    if (error instanceof OutcomeUnknownError) return { draft, result: { kind: 'unknown' } }
    if (error instanceof PlatformUnavailableError) return { draft, result: { kind: 'unavailable' } }
    throw error
  }
}

/** Checks that sequences and versions have no gaps and that each change is applicable directly after its predecessor. */
async function checkHistory (fixture: AcceptanceFixture, history: readonly IAcceptedChange[]): Promise<void> {
  const invariants = new InvariantService({ log: new RecordingLog(), metrics: new MetricsService() })
  const builder = new SnapshotBuilder({ parser: new DocumentParser(), invariants })
  let snapshot = builder.empty
  for (const [position, change] of history.entries()) {
    expect(change.sequence).to.equal(position + 1)
    expect(change.version).to.equal((snapshot.documents.get(change.service)?.version ?? 0) + 1)
    const text = change.isTombstone ? undefined : await fixture.accepted.readText(change.hash)
    const build = builder.build(snapshot, [versionOf(change.service, change.version, text)])
    expect(build.rejections).to.deep.equal([])
    snapshot = build.snapshot
  }
  expect(invariants.breaches).to.equal(0)
}

/** Checks that every result agrees with the history, and that no submission was accepted as two versions. */
async function checkAttempts (
  fixture: AcceptanceFixture, attempts: readonly IAttempt[], history: readonly IAcceptedChange[]
): Promise<void> {
  const writer = fixture.connect()
  for (const { draft, result } of attempts) {
    const matches = history.filter(({ service, version, hash }) =>
      service === draft.service && version === draft.expected + 1 && hash === hashContent(draft.text ?? ''))
    if (result.kind === 'accepted') expect(matches).to.deep.equal([result.change])
    // The row identifies the version of the submission itself: two deletions against one version have the same content.
    const row = await fixture.platform.plainTable.read(submissionRow(draft.id as SubmissionId))
    const isRefused = result.kind !== 'accepted' && result.kind !== 'unknown'
    const isRepeated = attempts.some((other) => other.draft.id === draft.id && other.result !== result)
    if (isRefused && !isRepeated) expect(row).to.equal(undefined)
    // A retry without faults of an accepted submission returns its own version, and nothing new is written.
    if (row === undefined) continue
    expect(matches).to.have.length(1)
    const again = await fixture.submit(writer, draft)
    expect(again).to.deep.equal({ kind: 'accepted', change: matches[0], isRepeat: true })
  }
  expect(await fixture.accepted.changesAfter(0 as ChangeSequence, EVERYTHING)).to.deep.equal(history)
}
