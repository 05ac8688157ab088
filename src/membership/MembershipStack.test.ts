/** Nodes acting together: join, failure, cuts, pauses, herds. */
import { expect } from 'chai'
import { MemoryFleet } from '../../testing/membership/MemoryFleet.js'

describe('MembershipStack', () => {
  let fleet: MemoryFleet

  afterEach(async () => { await fleet.stop() })

  it('joins nodes that start at once in two failure domains', async () => {
    fleet = new MemoryFleet(1)
    await fleet.add(0, 6)
    await fleet.add(1, 6)
    const took = await fleet.until(() => fleet.agrees(), 30_000)
    expect(took).to.be.a('number')
  })
})
