/** Versions in snapshots never decrease, and no reference is dangling, whatever the order in which versions arrive. */
import { expect } from 'chai'
import fc from 'fast-check'
import { documentHistory } from '../../testing/documents/DocumentHistory.js'
import { versionOf, writeDocument } from '../../testing/documents/DocumentText.js'
import { RecordingLog } from '../../testing/RecordingLog.js'
import { InvariantService } from '../common/InvariantService.js'
import { MetricsService } from '../common/MetricsService.js'
import type { ServiceName } from '../common/Types.js'
import { findDanglingReferences } from './DanglingReferences.js'
import { DocumentParser } from './DocumentParser.js'
import { SnapshotBuilder } from './SnapshotBuilder.js'
import type { IRejection, ISnapshot, IVersionedText } from './Types.js'

const SEED = 20_261_204
const STATUS = versionOf('status', 1, writeDocument({ service: 'status' }))
const FEES = versionOf('fees', 1, writeDocument({ service: 'fees', targets: ['status/endpoints'] }))

describe('SnapshotBuilder', () => {
  const invariants = new InvariantService({ log: new RecordingLog(), metrics: new MetricsService() })
  const builder = new SnapshotBuilder({ parser: new DocumentParser(), invariants })

  function apply (previous: ISnapshot, ...candidates: IVersionedText[]): ISnapshot {
    return builder.build(previous, candidates).snapshot
  }

  afterEach(() => expect(invariants.breaches).to.equal(0))

  it('keeps a document waiting until the resource that its route needs arrives', () => {
    const waiting = builder.build(builder.empty, [FEES])
    expect(waiting.snapshot).to.equal(builder.empty)
    expect(waiting.rejections.map(describeRejection)).to.deep.equal(['fees 1 waits: route to-0 of fees needs pool status/endpoints'])
    expect(versionsOf(apply(waiting.snapshot, FEES, STATUS))).to.deep.equal(['fees 1', 'status 1'])
  })

  it('applies candidates that depend on each other only together', () => {
    const first = apply(builder.empty, versionOf('a', 1, writeDocument({ service: 'a' })), versionOf('b', 1, writeDocument({ service: 'b' })))
    const left = versionOf('a', 2, writeDocument({ service: 'a', pools: ['new'], targets: ['b/new'] }))
    const right = versionOf('b', 2, writeDocument({ service: 'b', pools: ['new'], targets: ['a/new'] }))
    expect(apply(first, left)).to.equal(first)
    expect(apply(first, right)).to.equal(first)
    expect(versionsOf(apply(first, left, right))).to.deep.equal(['a 2', 'b 2'])
  })

  it('keeps a removed resource and a deleted service while a route of an active document needs them', () => {
    const first = apply(builder.empty, STATUS, FEES)
    const removal = versionOf('status', 2, writeDocument({ service: 'status', pools: ['others'] }))
    const tombstone = versionOf('status', 3)
    expect(apply(first, removal)).to.equal(first)
    const { snapshot, rejections } = builder.build(first, [tombstone, removal])
    expect(snapshot).to.equal(first)
    expect(rejections.every(({ isWaiting }) => isWaiting)).to.equal(true)
    const released = apply(first, tombstone, versionOf('fees', 2))
    expect(versionsOf(released)).to.deep.equal(['fees 2', 'status 3'])
    expect(released.resource({ service: STATUS.service, resource: 'endpoints' as never })).to.equal(undefined)
  })

  it('applies an older candidate while the newest one waits', () => {
    const newest = versionOf('status', 3, writeDocument({ service: 'status', targets: ['later/endpoints'] }))
    expect(versionsOf(apply(builder.empty, newest, STATUS, FEES))).to.deep.equal(['fees 1', 'status 1'])
  })

  it('refuses candidates that acceptance would have refused', () => {
    const first = apply(builder.empty, STATUS)
    const faulty: IVersionedText[] = [
      { ...FEES, text: `${FEES.text} ` },
      versionOf('fees', 1, writeDocument({ service: 'other' })),
      versionOf('fees', 1, 'nonsense'),
      versionOf('fees', 1, FEES.text.replace('format = 1', 'format = 2')),
      { ...FEES, isTombstone: true },
      versionOf('fees', 0, FEES.text),
      versionOf('fees', 1.5, FEES.text),
      versionOf('status', 1, writeDocument({ service: 'status', note: 'another content' }))
    ]
    const reasons = faulty.map((candidate) => {
      const { snapshot, rejections } = builder.build(first, [candidate])
      expect(snapshot).to.equal(first)
      return rejections.map(describeRejection)
    })
    expect(reasons).toMatchSnapshot()
  })

  it('ignores older and known versions, and shares unchanged documents with the previous snapshot', () => {
    const second = versionOf('status', 2, writeDocument({ service: 'status', note: 'second' }))
    const first = apply(builder.empty, second, FEES)
    expect(builder.build(first, [STATUS, second, FEES])).to.deep.equal({ snapshot: first, rejections: [] })
    const next = apply(first, versionOf('status', 3, writeDocument({ service: 'status', note: 'third' })))
    expect(next.documents.get('fees' as ServiceName)).to.equal(first.documents.get('fees' as ServiceName))
    expect(versionsOf(first)).to.deep.equal(['fees 1', 'status 2'])
  })

  it('keeps versions monotonic and references resolved for any order of arrival, and reaches the accepted set', () => {
    const arrival = fc.tuple(documentHistory, fc.infiniteStream(fc.nat()), fc.integer({ min: 1, max: 6 }))
    fc.assert(fc.property(arrival, ([model, draws, batchSize]) => {
      const draw = (limit: number): number => draws.next().value % limit
      let snapshot = builder.empty
      let waiting: IVersionedText[] = []
      const offer = (batch: readonly IVersionedText[]): void => {
        const candidates = [...waiting, ...batch]
        const build = builder.build(snapshot, candidates)
        checkStep(snapshot, build.snapshot, model.history)
        expect(build.rejections.every(({ isWaiting }) => isWaiting)).to.equal(true)
        waiting = candidates.filter((candidate) => build.rejections.some(({ entry }) => isEntryOf(entry, candidate)))
        snapshot = build.snapshot
      }
      // Offers random versions of the history repeatedly in any order, then the newest version of each service, one at a time.
      for (let round = 0; round < model.history.length; round++) {
        offer(Array.from({ length: batchSize }, () => model.history[draw(model.history.length)]))
      }
      for (const entry of model.newest()) offer([entry])
      expect(versionsOf(snapshot)).to.deep.equal(model.newest().map(({ service, version }) => `${service} ${version}`).sort())
    }), { seed: SEED, numRuns: 300 })
  })
})

/** Checks the invariants between two consecutive snapshots. */
function checkStep (previous: ISnapshot, next: ISnapshot, history: readonly IVersionedText[]): void {
  expect(findDanglingReferences(next.documents)).to.deep.equal([])
  for (const [service, { version }] of previous.documents) expect(next.documents.get(service)?.version).to.be.at.least(version)
  for (const active of next.documents.values()) {
    const accepted = history.find((entry) => isEntryOf(entry, active))
    expect(active.text).to.equal(accepted?.text)
  }
}

function isEntryOf (left: IRejection['entry'], right: IRejection['entry']): boolean {
  return left.service === right.service && left.version === right.version
}

function versionsOf (snapshot: ISnapshot): string[] {
  return [...snapshot.documents.values()].map(({ service, version }) => `${service} ${version}`).sort()
}

function describeRejection ({ entry, reason, isWaiting }: IRejection): string {
  return `${entry.service} ${entry.version} ${isWaiting ? 'waits' : 'refused'}: ${reason}`
}
