/** Lower bound of the time at which a message was sent, from acknowledged probes. */
import { expect } from 'chai'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { TransitTimeEstimator, type IProbeEcho } from './TransitTimeEstimator.js'

function echo (question: number, questionAgo: number): IProbeEcho {
  return { question, questionAgo: questionAgo as Milliseconds }
}

describe('TransitTimeEstimator', () => {
  it('measures from the request until a probe is acknowledged, and sends one probe at a time', () => {
    const estimator = new TransitTimeEstimator(1_000 as Timestamp)
    const probes = [1_050, 2_050, 2_100].map((now) => estimator.nextProbeNumber(now as Timestamp))
    const sent = [estimator.earliestSentAt(echo(0, 1_200), 2_300 as Timestamp), estimator.earliestSentAt(echo(1, 300), 2_400 as Timestamp)]
    const later = [2_400, 3_100].map((now) => estimator.nextProbeNumber(now as Timestamp))
    expect({ probes, sent, later }).to.deep.equal({ probes: [undefined, 1, undefined], sent: [2_200, 2_350], later: [undefined, 2] })
  })

  it('dates a message with a long transit time by its probe, not by its arrival', () => {
    const estimator = new TransitTimeEstimator(0 as Timestamp)
    estimator.nextProbeNumber(1_100 as Timestamp)
    // Sent 10 ms after the probe arrived, received almost five seconds later.
    expect(estimator.earliestSentAt(echo(1, 10), 6_000 as Timestamp)).to.equal(1_110)
  })

  it('dates a message early if its sender was suspended after the probe', () => {
    const estimator = new TransitTimeEstimator(0 as Timestamp)
    // The clock of the sender stopped for four seconds.
    expect(estimator.earliestSentAt(echo(0, 200), 4_300 as Timestamp)).to.equal(200)
  })

  it('never returns a time in the future, even if the sender reports a longer time than has passed here', () => {
    const estimator = new TransitTimeEstimator(0 as Timestamp)
    expect(estimator.earliestSentAt(echo(0, 9_000), 500 as Timestamp)).to.equal(500)
  })
})
