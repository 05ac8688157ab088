/** Catch-up with the store available, unavailable or failing in part, and with peers that are up to date or not. */
import { expect } from 'chai'
import { StoreGroup, type StoreNode } from '../../testing/distribution/StoreNode.js'
import { AcceptanceFixture } from '../../testing/documents/AcceptanceFixture.js'
import { versionOf, writeDocument } from '../../testing/documents/DocumentText.js'

const SEED = 20_261_204
const SERVICES = ['alpha', 'beta', 'gamma']

describe('CatchUpService', () => {
  let group: StoreGroup

  beforeEach(async () => {
    group = new StoreGroup(new AcceptanceFixture(SEED))
    for (const service of SERVICES) await group.accept({ service, expected: 0, text: writeDocument({ service }) })
  })
  afterEach(() => group.stop())

  /** Adds a node, starts it and connects it to all other nodes. */
  function startLinked (isStoreDown: boolean): StoreNode {
    const node = group.add()
    node.platformAccess.faults.set({ isDown: isStoreDown })
    node.start()
    for (let other = 0; other < group.nodes.length - 1; other++) group.connect(other, group.nodes.length - 1)
    return node
  }

  it('receives the bodies from peers and the confirmation from the store if both are available', async () => {
    const first = startLinked(false)
    await group.run(2_000)
    const second = startLinked(false)
    await group.run(2_000)
    expect([first.catchUp.source, second.catchUp.source]).to.deep.equal([{ kind: 'store' }, { kind: 'store' }])
    expect(group.inForce[1]).to.equal('alpha=1 beta=1 gamma=1')
    expect(second.platformAccess.faults.counts.reads, 'checkpoint, head and one page of rows').to.equal(3)
  })

  it('receives the newest versions of several peers if the store is unavailable at the start', async () => {
    for (let count = 0; count < 3; count++) startLinked(false)
    await group.run(3_000)
    // Each peer has a version that the other peers have not received yet.
    group.nodes.forEach((node, position) => {
      node.applyNewer(versionOf(SERVICES[position], 2, writeDocument({ service: SERVICES[position], note: 'newer' })))
    })
    const lateNode = startLinked(true)
    expect(lateNode.catchUp.source).to.equal(undefined)
    await group.run(6_000)
    expect(lateNode.catchUp.source).to.deep.equal({ kind: 'peers', peers: ['node-0', 'node-1', 'node-2'] })
    expect(lateNode.inForce).to.equal('alpha=2 beta=2 gamma=2')
  })

  it('does not complete while the store is unavailable and no peer is caught up, and completes once the store is available', async () => {
    for (let count = 0; count < 4; count++) startLinked(true)
    await group.run(600_000)
    expect(group.nodes.map((node) => node.catchUp.source)).to.deep.equal(Array(4).fill(undefined))
    group.nodes[2].platformAccess.faults.clear()
    await group.run(6_000)
    expect(group.nodes[2].catchUp.source).to.deep.equal({ kind: 'store' })
    expect(group.inForce[0]).to.equal('alpha=1 beta=1 gamma=1')
    expect(group.nodes[0].catchUp.source?.kind).to.equal('peers')
  })

  it('does not complete while the store fails some of the reads', async () => {
    const node = group.add()
    node.platformAccess.faults.set({ readsPerSecond: 3 })
    node.start()
    await group.run(200)
    expect(node.catchUp.source).to.equal(undefined)
    node.platformAccess.faults.clear()
    await group.run(5_000)
    expect(node.catchUp.source).to.deep.equal({ kind: 'store' })
  })

  it('resolves only after the snapshot contains every accepted version', async () => {
    const node = group.add()
    let inForce = ''
    node.start()
    node.catchUp.completed.then(() => { inForce = node.inForce })
    await group.run(2_000)
    expect(inForce).to.equal('alpha=1 beta=1 gamma=1')
  })
})
