/** Reads of a store that fails, does not respond, loses its change history, or returns several states of one row. */
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

/** Pause and long-poll timeout at the start of a process. */
interface IInitialTimes {
  readonly delay: Milliseconds
  readonly longPollTimeout: Milliseconds
}

const DEFAULT_INITIAL_TIMES: IInitialTimes = Object.freeze({ delay: 200 as Milliseconds, longPollTimeout: 1_000 as Milliseconds })

describe('TableFollower', () => {
  /** A change feed that returns or throws the steps of a script, one for each call; without a step it does not respond. */
  class ScriptedFeed implements IChangeFeed {
    public readonly calls: string[] = []
    /** If above 0: responds without rows after this time, instead of following the script. */
    public responseTime = 0

    constructor (private readonly _script: Array<IChangeBatch | Error | 'silence'>, private readonly _clock: ManualClock) {}

    public readAll (_table: TableName): Promise<IChangeBatch> {
      return this._next('all')
    }

    public changesAfter (_table: TableName, position: StorePosition, wait: Milliseconds): Promise<IChangeBatch> {
      return this._next(`after ${position} wait ${wait}`)
    }

    private async _next (call: string): Promise<IChangeBatch> {
      this.calls.push(call)
      if (this.responseTime > 0) {
        await this._clock.sleep(this.responseTime as Milliseconds)
        return batch([], 4)
      }
      const step = this._script.shift() ?? 'silence'
      if (step === 'silence') return await new Promise(() => undefined)
      if (step instanceof Error) throw step
      return step
    }
  }

  /** A follower that was started, with its surroundings. */
  interface IFollowing {
    readonly feed: ScriptedFeed
    readonly follower: TableFollower
    readonly clock: ManualClock
    /** Sets the position as if the rows had come from another node. */
    readonly learnFromNode: (position: number) => void
  }

  function follow (script: Array<IChangeBatch | Error | 'silence'>, skipsStates = false, initial: IInitialTimes = DEFAULT_INITIAL_TIMES): IFollowing {
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
      longPollTimeout: 1_000 as Milliseconds,
      batchDelay: 200 as Milliseconds,
      initialDelay: initial.delay,
      initialLongPollTimeout: initial.longPollTimeout,
      shouldSkipSupersededStates: skipsStates
    })
    follower.start()
    return { feed, follower, clock, learnFromNode: (learnt) => { position = learnt as StorePosition } }
  }

  it('reads the complete table, then changes: the first time without a wait, later with a pause after each batch that had rows', async () => {
    const { feed, clock } = follow([batch([row('a', 3)], 3, true), batch([row('a', 4)], 4), batch([], 5)])
    await settlePromises()
    await clock.advance(2_000)
    expect(feed.calls).to.deep.equal(['all', 'after 3 wait 1000', 'after 4 wait 1000', 'after 5 wait 1000'])
  })

  it('reads the complete table again when the change history is lost, and retries after failures with a backoff', async () => {
    const failure = new PlatformUnavailableError('busy', { step: 'test' })
    const lost = new HistoryLostError('gone', { step: 'test' })
    const { feed, follower, clock } = follow([failure, failure, batch([], 7, true), lost, batch([], 9, true)])
    await clock.advance(10)
    expect(follower.isCurrent(clock.now())).to.equal(false)
    await clock.advance(1_000)
    expect(feed.calls).to.deep.equal(['all', 'all', 'all', 'after 7 wait 1000', 'all', 'after 9 wait 1000'])
    expect(follower.isCurrent(clock.now())).to.equal(true)
  })

  it('is no longer current when a response is overdue or the follower was stopped', async () => {
    const { follower, clock } = follow([batch([], 7, true), 'silence'])
    await settlePromises()
    await clock.advance(1_000)
    expect(follower.isCurrent(clock.now())).to.equal(true)
    await clock.advance(1_000)
    expect(follower.isCurrent(clock.now())).to.equal(false)
    follower.stop()
    expect([follower.isRunning, follower.isCurrent(clock.now())]).to.deep.equal([false, false])
  })

  it('with large rows, reads the complete table after a restart and after a batch with several states of one row', async () => {
    const states = batch([row('a', 4), row('a', 5), row('a', 6)], 6)
    const { feed, follower, clock } = follow([batch([row('a', 3)], 3, true), states, batch([row('a', 7)], 7, true), batch([], 7)], true)
    await settlePromises()
    await clock.advance(1_000)
    follower.stop()
    follower.start()
    await settlePromises()
    expect(feed.calls).to.deep.equal(['all', 'after 3 wait 1000', 'all', 'after 7 wait 1000', 'after 7 wait 1000', 'all'])
  })

  it('is confirmed up to the time of the request, or up to the end of the wait if the store waited for all of it', async () => {
    const { feed, follower, clock } = follow([batch([row('a', 3)], 3, true), batch([row('a', 4)], 4), batch([], 4)])
    const start = clock.now()
    const confirmed: number[] = []
    for (const duration of [0, 200, 200]) {
      await clock.advance(duration)
      confirmed.push(follower.confirmedAt - start)
    }
    feed.responseTime = 1_020
    follower.stop()
    follower.start()
    for (const duration of [1_020, 1_020]) {
      await clock.advance(duration)
      confirmed.push(follower.confirmedAt - start)
    }
    // Two responses with rows at once, a third at once although it was asked to wait; then two after 1,020 ms, without and with a wait.
    expect(confirmed).to.deep.equal([0, 200, 400, 400, 2_420])
  })

  it('pauses between reads of an empty store', async () => {
    const { feed, clock } = follow(Array.from({ length: 50 }, () => batch([], 0, true)))
    await settlePromises()
    await clock.advance(1_000)
    expect(feed.calls.slice(0, 2)).to.deep.equal(['all', 'after 0 wait 1000'])
    expect(feed.calls.length).to.be.below(8)
  })

  it('makes a longer pause and a longer wait after its first read, but not after it was stopped and started again', async () => {
    const whole = batch([row('a', 3)], 3, true)
    const initial = { delay: 4_000 as Milliseconds, longPollTimeout: 1_800 as Milliseconds }
    const { feed, follower, clock } = follow([whole, batch([], 3), batch([], 3), 'silence', batch([], 3)], false, initial)
    await settlePromises()
    await clock.advance(1_900)
    expect([feed.calls, follower.isCurrent(clock.now())]).to.deep.equal([['all'], true])
    await clock.advance(2_200)
    follower.stop()
    follower.start()
    await settlePromises()
    expect(feed.calls).to.deep.equal(['all', 'after 3 wait 1800', 'after 3 wait 1000', 'after 3 wait 1000', 'after 3 wait 0', 'after 3 wait 1000'])
  })

  it('reads changes without a wait if it was stopped before its first response and the rows came from another node', async () => {
    const initial = { delay: 4_000 as Milliseconds, longPollTimeout: 1_800 as Milliseconds }
    const { feed, follower, clock, learnFromNode } = follow(['silence', batch([], 5), 'silence'], false, initial)
    follower.stop()
    learnFromNode(5)
    follower.start()
    await settlePromises()
    await clock.advance(100)
    expect(feed.calls).to.deep.equal(['all', 'after 5 wait 0', 'after 5 wait 1000'])
  })
})
