/** Calls that are ended by a planned stop. */
import { expect } from 'chai'
import { ManualClock } from '../../../testing/ManualClock.js'
import { CallConclusion } from './CallConclusion.js'
import type { CallResult } from './CallTask.js'

const REFUSED: CallResult = { kind: 'refused', reason: 'draining', retryAfter: 50 } as CallResult

describe('CallConclusion', () => {
  it('gives a call its own result, also one that comes when the calls are ended', async () => {
    const clock = new ManualClock()
    const conclusion = new CallConclusion(clock)
    const before = conclusion.resultOf(Promise.resolve(REFUSED))
    expect(conclusion.hasBegun).to.equal(false)
    conclusion.begin()
    const late = conclusion.resultOf(clock.sleep(10 as never).then(() => REFUSED))
    await clock.advance(100)
    expect([await before, await late, conclusion.hasBegun]).to.deep.equal([REFUSED, REFUSED, true])
  })

  it('says of a call without a result that it may have run', async () => {
    const clock = new ManualClock()
    const conclusion = new CallConclusion(clock)
    const result = conclusion.resultOf(new Promise(() => undefined))
    conclusion.begin()
    conclusion.begin()
    await clock.advance(100)
    expect(await result).to.deep.equal({ kind: 'unknown', reason: 'node stops' })
  })

  it('passes on that a call failed', async () => {
    const failure = await new CallConclusion(new ManualClock()).resultOf(Promise.reject(new Error('no'))).catch((error: unknown) => String(error))
    expect(failure).to.equal('Error: no')
  })
})
