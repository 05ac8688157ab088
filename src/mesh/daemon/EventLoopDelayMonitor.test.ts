/** Logging of periods in which the event loop of the process was blocked. */
import { expect } from 'chai'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { EventLoopDelayMonitor } from './EventLoopDelayMonitor.js'

describe('EventLoopWatch', () => {
  it('logs the delay of a timer that fires late, with the processor time and event loop iterations since it last fired', () => {
    const log = new RecordingLog()
    let now = 0
    let processorTime = 0
    let iterations = 0
    let tick = (): void => undefined
    const clock = {
      now: () => now as Timestamp,
      every: (_interval: Milliseconds, action: () => void) => {
        tick = action
        return { dispose: () => undefined }
      },
      after: () => ({ dispose: () => undefined }),
      sleep: async () => undefined
    }
    new EventLoopDelayMonitor({
      clock, log, processorTime: () => processorTime as Milliseconds, eventLoopIterations: () => iterations
    }).start()
    for (const [at, time, count] of [[500, 5, 9], [1_005, 10, 20], [2_105, 200, 23]] as const) {
      now = at
      processorTime = time
      iterations = count
      tick()
    }
    expect(log.events).to.deep.equal([{ name: 'process-delayed', fields: { step: 'process.watch', lateMs: 600, processorMs: 190, turns: 3 } }])
  })
})
