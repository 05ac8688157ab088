/** A process that could not run says so. */
import { expect } from 'chai'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { EventLoopWatch } from './EventLoopWatch.js'

describe('EventLoopWatch', () => {
  it('logs by how much its timer was late, and the processor time and turns meanwhile', () => {
    const log = new RecordingLog()
    let now = 0
    let used = 0
    let turn = 0
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
    new EventLoopWatch({ clock, log, processorTime: () => used as Milliseconds, turns: () => turn }).start()
    for (const [at, time, count] of [[100, 5, 9], [205, 10, 20], [905, 200, 23]] as const) {
      now = at
      used = time
      turn = count
      tick()
    }
    expect(log.events).to.deep.equal([{ name: 'process-delayed', fields: { step: 'process.watch', lateMs: 600, processorMs: 190, turns: 3 } }])
  })
})
