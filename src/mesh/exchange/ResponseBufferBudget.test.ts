/** Guards against running out of memory when endpoints send endless responses on several connections at once. */
import { expect } from 'chai'
import { ResponseBufferBudget, type IBufferedResponse } from './ResponseBufferBudget.js'

/** A response whose size the test sets. */
class GrowingResponse implements IBufferedResponse {
  public bytes = 0
  public reason: string | undefined

  public abort (reason: string): void {
    this.reason = reason
    this.bytes = 0
  }
}

describe('ResponseBufferBudget', () => {
  it('aborts the largest unfinished response and no smaller one when the limit is exceeded', () => {
    const budget = new ResponseBufferBudget({ limit: 1_000 })
    const [first, second, small] = [new GrowingResponse(), new GrowingResponse(), new GrowingResponse()] as const
    const grow = (response: GrowingResponse, bytes: number): void => {
      response.bytes += bytes
      budget.recordGrowth(response)
    }
    grow(first, 500)
    grow(second, 450)
    grow(small, 100)
    expect([first, second, small].map(({ reason }) => reason)).to.deep.equal(['answer too large beside others', undefined, undefined])
    budget.release(second)
    grow(small, 800)
    expect(small.reason).to.equal(undefined)
  })
})
