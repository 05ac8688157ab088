/** Rows that come late, stores that fail, and who reads. */
import { expect } from 'chai'
import { RandomService } from '../../common/RandomService.js'
import type { FailureDomain, Milliseconds, NetworkAddress, Region, Timestamp } from '../../common/Types.js'
import { HistoryLostError, PlatformUnavailableError } from '../../platform/PlatformErrors.js'
import type { IChangeFeed } from '../../platform/Services.js'
import type { IChangeBatch, IChangedRow, RowKey, StorePosition, TableName } from '../../platform/Types.js'
import { ManualClock, settlePromises } from '../../../testing/ManualClock.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import type { IKnownNode, NodeName } from '../Types.js'
import { encodeNodeRow } from './NodeRowCodec.js'
import { NodeTable } from './NodeTable.js'
import { ReadingPolicy } from './ReadingPolicy.js'
import { TableFollower } from './TableFollower.js'

const NOW = 1_000 as Timestamp

function nodeOf (name: string, region = 'r1', isLeaving = false, address = `10.0.0.${name.charCodeAt(0)}:1`): IKnownNode {
  return {
    node: name as NodeName,
    failureDomain: 'z1' as FailureDomain,
    region: region as Region,
    gateAddress: address as NetworkAddress,
    peerAddress: '10.0.0.1:2' as NetworkAddress,
    isLeaving,
    learntAt: NOW
  }
}

function row (name: string, position: number, value: string | undefined = encodeNodeRow(nodeOf(name))): IChangedRow {
  return { key: name as RowKey, position: position as StorePosition, value }
}

function batch (rows: readonly IChangedRow[], position: number, isWhole = false): IChangeBatch {
  return { rows, position: position as StorePosition, isWhole }
}

describe('NodeTable', () => {
  it('takes the later state of a row, in whatever order they arrive', () => {
    const table = new NodeTable({ log: new RecordingLog() })
    table.apply(batch([row('a', 5), row('b', 6)], 6), NOW)
    table.apply(batch([{ key: 'a' as RowKey, position: 8 as StorePosition }], 8), NOW)
    table.apply(batch([row('a', 7)], 7), NOW)
    expect([[...table.nodes.keys()], table.position]).to.deep.equal([['b'], 8])
  })

  it('drops what a whole reading lacks, unless it is newer than the reading', () => {
    const table = new NodeTable({ log: new RecordingLog() })
    table.apply(batch([row('a', 5), row('b', 9)], 9), NOW)
    table.apply(batch([], 7, true), NOW)
    expect([...table.nodes.keys()]).to.deep.equal(['b'])
  })

  it('ignores a row that cannot be read, with a line in the log, and keeps the others', () => {
    const log = new RecordingLog()
    const table = new NodeTable({ log })
    table.apply(batch([row('a', 1, '{"node":1}'), row('b', 2, 'no JSON'), row('c', 3)], 3, true), NOW)
    expect([[...table.nodes.keys()], log.events.filter(({ name }) => name === 'node-row-ignored').length]).to.deep.equal([['c'], 2])
  })
})

describe('NodeTable with an address that passes on', () => {
  it('knows the node that wrote its row last at an address, and no other', () => {
    const table = new NodeTable({ log: new RecordingLog() })
    const gone = encodeNodeRow(nodeOf('gone', 'r1', false, '10.0.0.9:1'))
    const heir = encodeNodeRow(nodeOf('heir', 'r1', false, '10.0.0.9:1'))
    table.apply(batch([row('gone', 4, gone), row('heir', 9, heir), row('other', 5)], 9), NOW)
    expect([...table.nodes.keys()]).to.deep.equal(['heir', 'other'])
  })
})

describe('ReadingPolicy', () => {
  const names = ['a', 'b', 'c', 'd', 'e', 'f']
  const nodes = new Map(names.map((name) => [name as NodeName, nodeOf(name)]))
  const policyOf = (name: string): ReadingPolicy => {
    return new ReadingPolicy({ name: name as NodeName, failureDomain: 'z1' as FailureDomain, region: 'r1' as Region }, new RandomService(1))
  }
  const sourceOf = (name: string): NodeName | undefined => policyOf(name).choose(nodes, false, NOW)?.name

  it('lets one node of a region read the store, and all others follow it', () => {
    const sources = new Set(names.map(sourceOf))
    expect(sources.size).to.equal(2)
    expect(sources.has(undefined)).to.equal(true)
  })

  it('goes to the second in rank when the first cannot be reached, and lets that one read', () => {
    const [first] = names.map(sourceOf).filter((name) => name !== undefined)
    const followers = names.filter((name) => name !== first).map((name) => {
      const policy = policyOf(name)
      const source = policy.choose(nodes, false, NOW)
      if (source !== undefined) policy.recordFailure(source, NOW)
      return policy.choose(nodes, false, NOW)?.name
    })
    expect(followers.filter((name) => name === undefined).length).to.equal(1)
    expect(new Set(followers).size).to.equal(2)
  })

  it('asks any node once the store is lost to the one that reads', () => {
    const reader = names.find((name) => sourceOf(name) === undefined) ?? ''
    expect(policyOf(reader).choose(nodes, true, NOW)).to.include({ isPreferred: false })
    expect(policyOf(reader).choose(new Map(), true, NOW)).to.equal(undefined)
    const alone = policyOf(reader)
    alone.suggest('10.0.0.9:9' as NetworkAddress)
    expect(alone.choose(new Map(), true, NOW)?.address).to.equal('10.0.0.9:9')
  })
})

describe('TableFollower', () => {
  /** A feed that gives what a script says, call after call. */
  class ScriptedFeed implements IChangeFeed {
    public readonly calls: string[] = []

    constructor (private readonly _script: Array<IChangeBatch | Error | 'silence'>) {}

    public readAll (_table: TableName): Promise<IChangeBatch> {
      return this._next('all')
    }

    public changesAfter (_table: TableName, position: StorePosition, wait: Milliseconds): Promise<IChangeBatch> {
      return this._next(`after ${position} wait ${wait}`)
    }

    private async _next (call: string): Promise<IChangeBatch> {
      this.calls.push(call)
      const step = this._script.shift() ?? 'silence'
      if (step === 'silence') return await new Promise(() => undefined)
      if (step instanceof Error) throw step
      return step
    }
  }

  function follow (script: Array<IChangeBatch | Error | 'silence'>, skipsStates = false): { feed: ScriptedFeed, follower: TableFollower, clock: ManualClock } {
    const clock = new ManualClock()
    const feed = new ScriptedFeed(script)
    let position = 0 as StorePosition
    const follower = new TableFollower({
      feed,
      table: 't' as TableName,
      position: () => position,
      onBatch: (received) => { position = received.position },
      clock,
      random: new RandomService(1),
      log: new RecordingLog(),
      wait: 1_000 as Milliseconds,
      gather: 200 as Milliseconds,
      skipsStates
    })
    follower.start()
    return { feed, follower, clock }
  }

  it('reads everything, then changes, at once the first time, and lets further changes gather', async () => {
    const { feed, clock } = follow([batch([row('a', 3)], 3, true), batch([row('a', 4)], 4), batch([], 5)])
    await settlePromises()
    await clock.advance(2_000)
    expect(feed.calls).to.deep.equal(['all', 'after 3 wait 1000', 'after 4 wait 1000', 'after 5 wait 1000'])
  })

  it('reads everything anew when the history is lost, and goes on after failures with pauses', async () => {
    const failure = new PlatformUnavailableError('busy', { step: 'test' })
    const lost = new HistoryLostError('gone', { step: 'test' })
    const { feed, follower, clock } = follow([failure, failure, batch([], 7, true), lost, batch([], 9, true)])
    await clock.advance(10)
    expect(follower.isCurrent(clock.now())).to.equal(false)
    await clock.advance(1_000)
    expect(feed.calls).to.deep.equal(['all', 'all', 'all', 'after 7 wait 1000', 'all', 'after 9 wait 1000'])
    expect(follower.isCurrent(clock.now())).to.equal(true)
  })

  it('is no longer current when an answer is overdue, and never after it was stopped', async () => {
    const { follower, clock } = follow([batch([], 7, true), 'silence'])
    await settlePromises()
    await clock.advance(1_000)
    expect(follower.isCurrent(clock.now())).to.equal(true)
    await clock.advance(1_000)
    expect(follower.isCurrent(clock.now())).to.equal(false)
    follower.stop()
    expect([follower.isRunning, follower.isCurrent(clock.now())]).to.deep.equal([false, false])
  })

  it('reads the whole of a table of large rows after a pause, and when the changes held states that were replaced', async () => {
    const states = batch([row('a', 4), row('a', 5), row('a', 6)], 6)
    const { feed, follower, clock } = follow([batch([row('a', 3)], 3, true), states, batch([row('a', 7)], 7, true), batch([], 7)], true)
    await settlePromises()
    await clock.advance(1_000)
    follower.stop()
    follower.start()
    await settlePromises()
    expect(feed.calls).to.deep.equal(['all', 'after 3 wait 1000', 'all', 'after 7 wait 1000', 'after 7 wait 1000', 'all'])
  })

  it('does not read an empty store without end', async () => {
    const { feed, clock } = follow(Array.from({ length: 50 }, () => batch([], 0, true)))
    await settlePromises()
    await clock.advance(1_000)
    expect(feed.calls.length).to.be.below(8)
  })
})
