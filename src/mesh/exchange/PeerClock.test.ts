/** Estimates of another process's clock from the timestamps of its responses. */
import { expect } from 'chai'
import fc from 'fast-check'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { PeerClock, type IClockSample } from './PeerClock.js'

const SEED = 20261205
const NOW = 1_000_000
const ROUNDING_MS = 1

/** Timestamps of a request sent at `sentAt`; `offset`: lead of the other clock; `there`, `back`: transit times of request and response. */
function sampleOf (sentAt: number, offset: number, there: number, handled: number, back: number): IClockSample {
  return {
    sentAt: sentAt as Timestamp,
    receivedAt: sentAt + there + handled + back as Timestamp,
    reportedAt: sentAt + there + handled + offset as Timestamp,
    handled: handled as Milliseconds
  }
}

describe('PeerClock', () => {
  it('gives no time before the first sample', () => {
    expect(new PeerClock().timeAt(NOW as Timestamp)).to.equal(undefined)
  })

  it('converts a time late by the shortest transit time of a request, and never early', () => {
    const duration = fc.nat(2_000)
    const durations = fc.array(fc.tuple(duration, duration, duration), { minLength: 1, maxLength: 20 })
    fc.assert(fc.property(fc.integer({ min: -100_000, max: 100_000 }), durations, (offset, samples) => {
      const clock = new PeerClock()
      samples.forEach(([there, handled, back], index) => clock.recordSample(sampleOf(NOW + index, offset, there, handled, back)))
      const shortest = Math.min(...samples.map(([there]) => there))
      expect(clock.timeAt(NOW as Timestamp)).to.equal(NOW + offset + shortest + ROUNDING_MS)
    }), { seed: SEED })
  })

  it('adjusts with the first sample after one of the clocks was suspended', () => {
    const clock = new PeerClock()
    clock.recordSample(sampleOf(NOW, 0, 2, 50, 2))
    clock.recordSample(sampleOf(NOW + 100, 5_000, 3, 50, 4))
    expect(clock.timeAt(NOW as Timestamp)).to.equal(NOW + 5_000 + 3 + ROUNDING_MS)
    clock.recordSample(sampleOf(NOW + 200, -5_000, 6, 50, 4))
    expect(clock.timeAt(NOW as Timestamp)).to.equal(NOW - 5_000 + 6 + ROUNDING_MS)
  })
})
