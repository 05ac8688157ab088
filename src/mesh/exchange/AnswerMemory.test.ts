/** Answers without end at several connections at once. */
import { expect } from 'chai'
import { AnswerMemory, type IPartialAnswer } from './AnswerMemory.js'

/** An answer that grows on demand. */
class GrowingAnswer implements IPartialAnswer {
  public bytes = 0
  public reason: string | undefined

  public abort (reason: string): void {
    this.reason = reason
    this.bytes = 0
  }
}

describe('AnswerMemory', () => {
  it('drops the largest unfinished answer, never a small one beside it', () => {
    const memory = new AnswerMemory({ limit: 1_000 })
    const [first, second, small] = [new GrowingAnswer(), new GrowingAnswer(), new GrowingAnswer()] as const
    const grow = (answer: GrowingAnswer, bytes: number): void => {
      answer.bytes += bytes
      memory.noteGrowth(answer)
    }
    grow(first, 500)
    grow(second, 450)
    grow(small, 100)
    expect([first, second, small].map(({ reason }) => reason)).to.deep.equal(['answer too large beside others', undefined, undefined])
    memory.release(second)
    grow(small, 800)
    expect(small.reason).to.equal(undefined)
  })
})
