/** Results of calls that are still running at the end of a planned stop. */
import { expect } from 'chai'
import { ManualClock } from '../../../testing/ManualClock.js'
import { CallTermination } from './CallTermination.js'
import type { CallResult } from './CallTask.js'

const REFUSED: CallResult = { kind: 'refused', reason: 'draining', retryAfter: 50 } as CallResult

describe('CallTermination', () => {
  it('returns the result of a call that finishes before the termination or shortly after its start', async () => {
    const clock = new ManualClock()
    const termination = new CallTermination(clock)
    const before = termination.resultOf(Promise.resolve(REFUSED))
    expect(termination.hasStarted).to.equal(false)
    termination.start()
    const late = termination.resultOf(clock.sleep(10 as never).then(() => REFUSED))
    await clock.advance(100)
    expect([await before, await late, termination.hasStarted]).to.deep.equal([REFUSED, REFUSED, true])
  })

  it('returns unknown for a call that has no result by the end of the termination delay', async () => {
    const clock = new ManualClock()
    const termination = new CallTermination(clock)
    const result = termination.resultOf(new Promise(() => undefined))
    termination.start()
    termination.start()
    await clock.advance(100)
    expect(await result).to.deep.equal({ kind: 'unknown', reason: 'node is shutting down' })
  })

  it('rejects if a call fails', async () => {
    const failure = await new CallTermination(new ManualClock()).resultOf(Promise.reject(new Error('no'))).catch((error: unknown) => String(error))
    expect(failure).to.equal('Error: no')
  })
})
