/** Moments by the clock of another process, from what its answers tell. */
import { expect } from 'chai'
import fc from 'fast-check'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { PeerClock, type IClockSample } from './PeerClock.js'

const SEED = 20261205
const NOW = 1_000_000
const ROUNDING_MS = 1

/** A question asked at `askedAt` and its answer; `ahead`: what the other clock shows more; both ways by their times. */
function sampleOf (askedAt: number, ahead: number, there: number, handled: number, back: number): IClockSample {
  return {
    askedAt: askedAt as Timestamp,
    answeredAt: askedAt + there + handled + back as Timestamp,
    toldAt: askedAt + there + handled + ahead as Timestamp,
    handled: handled as Milliseconds
  }
}

describe('PeerClock', () => {
  it('says nothing of a process that has not answered', () => {
    expect(new PeerClock().timeAt(NOW as Timestamp)).to.equal(undefined)
  })

  it('never tells a moment too early, and too late by the shortest way of a question at most', () => {
    const way = fc.nat(2_000)
    const ways = fc.array(fc.tuple(way, way, way), { minLength: 1, maxLength: 20 })
    fc.assert(fc.property(fc.integer({ min: -100_000, max: 100_000 }), ways, (ahead, samples) => {
      const clock = new PeerClock()
      samples.forEach(([there, handled, back], index) => clock.note(sampleOf(NOW + index, ahead, there, handled, back)))
      const shortest = Math.min(...samples.map(([there]) => there))
      expect(clock.timeAt(NOW as Timestamp)).to.equal(NOW + ahead + shortest + ROUNDING_MS)
    }), { seed: SEED })
  })

  it('follows the first answer after one of the clocks has stood still', () => {
    const clock = new PeerClock()
    clock.note(sampleOf(NOW, 0, 2, 50, 2))
    clock.note(sampleOf(NOW + 100, 5_000, 3, 50, 4))
    expect(clock.timeAt(NOW as Timestamp)).to.equal(NOW + 5_000 + 3 + ROUNDING_MS)
    clock.note(sampleOf(NOW + 200, -5_000, 6, 50, 4))
    expect(clock.timeAt(NOW as Timestamp)).to.equal(NOW - 5_000 + 6 + ROUNDING_MS)
  })
})
