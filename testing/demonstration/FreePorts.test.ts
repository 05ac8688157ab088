/** Ports of tests that run in parallel processes: a draw must not take a port that another process has drawn but not opened yet. */
import { expect } from 'chai'
import { findFreePorts } from './FreePorts.js'

const PORTS = 54
const PORTS_IN_BLOCK = 500

describe('Free ports', () => {
  it('are distinct and lie in the block of this process', async () => {
    const ports = await findFreePorts(PORTS)
    expect(new Set(ports).size).to.equal(PORTS)
    const blocks = new Set(ports.map((port) => Math.floor(port / PORTS_IN_BLOCK)))
    expect(blocks.size).to.equal(1)
  })
})
