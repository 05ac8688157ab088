/** A store that fails, is silent, forgets its history, or has more states than a node can read. */
import { expect } from 'chai'
import { RandomService } from '../../common/RandomService.js'
import type { Milliseconds } from '../../common/Types.js'
import { HistoryLostError, PlatformUnavailableError } from '../../platform/PlatformErrors.js'
import type { IChangeFeed } from '../../platform/Services.js'
import type { IChangeBatch, StorePosition, TableName } from '../../platform/Types.js'
import { ManualClock, settlePromises } from '../../../testing/ManualClock.js'
import { batch, row } from '../../../testing/mesh/NodeRows.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { TableFollower } from './TableFollower.js'

describe('TableFollower', () => {
  /** A feed that gives what a script says, call after call. */
  class ScriptedFeed implements IChangeFeed {
    public readonly calls: string[] = []
    /** Above 0: answers without rows after this time, in place of the script. */
    public answerTime = 0

    constructor (private readonly _script: Array<IChangeBatch | Error | 'silence'>, private readonly _clock: ManualClock) {}

    public readAll (_table: TableName): Promise<IChangeBatch> {
      return this._next('all')
    }

    public changesAfter (_table: TableName, position: StorePosition, wait: Milliseconds): Promise<IChangeBatch> {
      return this._next(`after ${position} wait ${wait}`)
    }

    private async _next (call: string): Promise<IChangeBatch> {
      this.calls.push(call)
      if (this.answerTime > 0) {
        await this._clock.sleep(this.answerTime as Milliseconds)
        return batch([], 4)
      }
      const step = this._script.shift() ?? 'silence'
      if (step === 'silence') return await new Promise(() => undefined)
      if (step instanceof Error) throw step
      return step
    }
  }

  function follow (script: Array<IChangeBatch | Error | 'silence'>, skipsStates = false): { feed: ScriptedFeed, follower: TableFollower, clock: ManualClock } {
    const clock = new ManualClock()
    const feed = new ScriptedFeed(script, clock)
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

  it('knows as of when it is complete: from the asking on, or from the end of a wait that the store kept', async () => {
    const { feed, follower, clock } = follow([batch([row('a', 3)], 3, true), batch([row('a', 4)], 4), batch([], 4)])
    const start = clock.now()
    const confirmed: number[] = []
    for (const duration of [0, 200, 200]) {
      await clock.advance(duration)
      confirmed.push(follower.confirmedAt - start)
    }
    feed.answerTime = 1_020
    follower.stop()
    follower.start()
    for (const duration of [1_020, 1_020]) {
      await clock.advance(duration)
      confirmed.push(follower.confirmedAt - start)
    }
    // At once after rows and, the third, at once although it was asked to wait; then after 1,020 ms without a wait, and with one.
    expect(confirmed).to.deep.equal([0, 200, 400, 400, 2_420])
  })

  it('does not read an empty store without end', async () => {
    const { feed, clock } = follow(Array.from({ length: 50 }, () => batch([], 0, true)))
    await settlePromises()
    await clock.advance(1_000)
    expect(feed.calls.length).to.be.below(8)
  })
})
