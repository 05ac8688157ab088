/** The age of a view as its receiver can prove it. */
import { expect } from 'chai'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { ViewAge, type IViewAgeAnswer } from './ViewAge.js'

function answer (question: number, questionAgo: number, confirmedAgo: number): IViewAgeAnswer {
  return { question, questionAgo: questionAgo as Milliseconds, confirmedAgo: confirmedAgo as Milliseconds }
}

describe('ViewAge', () => {
  it('counts from the request until a question is answered, one question at a time', () => {
    const age = new ViewAge(1_000 as Timestamp)
    const asked = [1_050, 2_050, 2_100].map((now) => age.ask(now as Timestamp))
    const confirmed = [
      age.confirmedAt(answer(0, 1_200, 50), 2_300 as Timestamp),
      age.confirmedAt(answer(1, 300, 50), 2_400 as Timestamp)
    ]
    const next = [2_400, 3_100].map((now) => age.ask(now as Timestamp))
    expect({ asked, confirmed, next }).to.deep.equal({ asked: [undefined, 1, undefined], confirmed: [2_150, 2_300], next: [undefined, 2] })
  })

  it('does not take a view for new that was long under way, in either direction', () => {
    const age = new ViewAge(0 as Timestamp)
    age.ask(1_100 as Timestamp)
    // Sent right after the question came, received five seconds later.
    expect(age.confirmedAt(answer(1, 10, 0), 6_000 as Timestamp)).to.equal(1_110)
  })

  it('does not take a view for new whose sender was suspended after it had confirmed it', () => {
    const age = new ViewAge(0 as Timestamp)
    // The sender's clock stood still for four seconds.
    expect(age.confirmedAt(answer(0, 200, 100), 4_300 as Timestamp)).to.equal(100)
  })

  it('does not take a view for newer than now', () => {
    const age = new ViewAge(0 as Timestamp)
    expect(age.confirmedAt(answer(0, 9_000, 0), 500 as Timestamp)).to.equal(500)
  })
})
