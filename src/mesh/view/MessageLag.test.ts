/** How long messages were under way, as their receiver can prove it. */
import { expect } from 'chai'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { MessageLag, type ILagAnswer } from './MessageLag.js'

function answer (question: number, questionAgo: number): ILagAnswer {
  return { question, questionAgo: questionAgo as Milliseconds }
}

describe('MessageLag', () => {
  it('counts from the request until a question is answered, one question at a time', () => {
    const lag = new MessageLag(1_000 as Timestamp)
    const asked = [1_050, 2_050, 2_100].map((now) => lag.ask(now as Timestamp))
    const sent = [lag.sentAt(answer(0, 1_200), 2_300 as Timestamp), lag.sentAt(answer(1, 300), 2_400 as Timestamp)]
    const next = [2_400, 3_100].map((now) => lag.ask(now as Timestamp))
    expect({ asked, sent, next }).to.deep.equal({ asked: [undefined, 1, undefined], sent: [2_200, 2_350], next: [undefined, 2] })
  })

  it('does not take a message for new that was long under way', () => {
    const lag = new MessageLag(0 as Timestamp)
    lag.ask(1_100 as Timestamp)
    // Sent right after the question came, received five seconds later.
    expect(lag.sentAt(answer(1, 10), 6_000 as Timestamp)).to.equal(1_110)
  })

  it('does not take a message for new whose sender was suspended since the question', () => {
    const lag = new MessageLag(0 as Timestamp)
    // The sender's clock stood still for four seconds.
    expect(lag.sentAt(answer(0, 200), 4_300 as Timestamp)).to.equal(200)
  })

  it('does not take a message for sent later than now', () => {
    const lag = new MessageLag(0 as Timestamp)
    expect(lag.sentAt(answer(0, 9_000), 500 as Timestamp)).to.equal(500)
  })
})
