/** Ports of tests: a draw must not take a port that this or another process has drawn but not opened yet. */
import { expect } from 'chai'
import { findFreePorts } from './FreePorts.js'

const DRAWS = 9
const PORTS = 6
const PORTS_IN_BLOCK = 500

describe('Free ports', () => {
  it('are distinct over several draws and lie in the block of this process', async () => {
    const ports: number[] = []
    for (let draw = 0; draw < DRAWS; draw++) ports.push(...await findFreePorts(PORTS))
    expect(new Set(ports).size).to.equal(DRAWS * PORTS)
    const blocks = new Set(ports.map((port) => Math.floor(port / PORTS_IN_BLOCK)))
    expect(blocks.size).to.equal(1)
  })
})
