/** Reordered, missed and malformed reports, and reports with lower versions. */
import { expect } from 'chai'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { InvariantService } from '../../common/InvariantService.js'
import { MetricsService } from '../../common/MetricsService.js'
import { ReportCollector } from './ReportCollector.js'
import type { INodeReport } from './Types.js'

/** A report of changes `service=version`. */
function report (number: number, changes: readonly string[], isWhole = false, node = 'node-1'): INodeReport {
  const versions = changes.map((change) => ({ service: change.split('=')[0], version: Number(change.split('=')[1]) }))
  return { node, number, isWhole, versions, rejections: [], digest: Buffer.from(`${node}${number}`) }
}

describe('ReportCollector', () => {
  let invariants: InvariantService
  let collector: ReportCollector

  beforeEach(() => {
    invariants = new InvariantService({ log: new RecordingLog(), metrics: new MetricsService() })
    collector = new ReportCollector(invariants)
  })

  /** Counted versions as `service=version:members`. */
  function counted (): string {
    return collector.summarize().flatMap(({ service, versions }) => versions.map(({ version, members }) => `${service}=${version}:${members}`)).join(' ')
  }

  it('ignores a report that arrives after a newer one', () => {
    collector.receive(report(1, ['a=1'], true))
    collector.receive(report(3, ['a=3'], true))
    expect(collector.receive(report(2, ['a=2'], true))).to.equal(true)
    expect(counted()).to.equal('a=3:1')
  })

  it('does not count a node after a missed report until the node sends a complete report', () => {
    collector.receive(report(1, ['a=1', 'b=1'], true))
    collector.receive(report(3, ['b=2']))
    expect([counted(), collector.nodesWithoutVector]).to.deep.equal(['', ['node-1']])
    collector.receive(report(4, ['a=2', 'b=2'], true))
    expect([counted(), collector.nodesWithoutVector]).to.deep.equal(['a=2:1 b=2:1', []])
  })

  it('refuses a report with a lower version as a breach of an invariant, and refuses malformed reports', () => {
    collector.receive(report(1, ['a=2'], true))
    expect(collector.receive(report(2, ['a=1'], true))).to.equal(false)
    expect(invariants.breaches).to.equal(1)
    for (const change of ['A b=1', 'a=0', 'a=1.5', '__proto__=1']) expect(collector.receive(report(3, [change], true)), change).to.equal(false)
    expect(collector.receive(report(1, [], true, ''))).to.equal(false)
    expect(counted()).to.equal('a=2:1')
  })

  it('counts all nodes with equal vectors, and removes nodes that are no longer members', () => {
    for (const node of ['node-1', 'node-2', 'node-3']) {
      collector.receive(report(1, ['a=1'], true, node))
      collector.receive(report(2, ['a=2'], false, node))
    }
    expect(counted()).to.equal('a=2:3')
    collector.retain(new Set(['node-2' as never]))
    expect(counted()).to.equal('a=2:1')
  })
})
