/** Catch-up with the store up, down or away, and with peers that are or are not up to date. */
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

  /** Adds a node that has linked to all the others and starts. */
  function startLinked (isStoreDown: boolean): StoreNode {
    const node = group.add()
    node.way.faults.set({ isDown: isStoreDown })
    node.start()
    for (let other = 0; other < group.nodes.length - 1; other++) group.connect(other, group.nodes.length - 1)
    return node
  }

  it('takes the bodies from peers and is confirmed by the store', async () => {
    const first = startLinked(false)
    await group.run(2_000)
    const second = startLinked(false)
    await group.run(2_000)
    expect([first.catchUp.source, second.catchUp.source]).to.deep.equal([{ kind: 'store' }, { kind: 'store' }])
    expect(group.inForce[1]).to.equal('alpha=1 beta=1 gamma=1')
    expect(second.way.faults.counts.reads, 'checkpoint, head and one page of rows').to.equal(3)
  })

  it('takes the newest of several peers while the store is down at the start', async () => {
    for (let count = 0; count < 3; count++) startLinked(false)
    await group.run(3_000)
    // Each peer knows something that the others have not heard of yet.
    group.nodes.forEach((node, position) => {
      node.offer(versionOf(SERVICES[position], 2, writeDocument({ service: SERVICES[position], note: 'newer' })))
    })
    const late = startLinked(true)
    expect(late.catchUp.source).to.equal(undefined)
    await group.run(6_000)
    expect(late.catchUp.source).to.deep.equal({ kind: 'peers', peers: ['node-0', 'node-1', 'node-2'] })
    expect(late.inForce).to.equal('alpha=2 beta=2 gamma=2')
  })

  it('does not serve while the store is down and the peers are no wiser, and does once the store is back', async () => {
    for (let count = 0; count < 4; count++) startLinked(true)
    await group.run(600_000)
    expect(group.nodes.map((node) => node.catchUp.source)).to.deep.equal(Array(4).fill(undefined))
    group.nodes[2].way.faults.clear()
    await group.run(6_000)
    expect(group.nodes[2].catchUp.source).to.deep.equal({ kind: 'store' })
    expect(group.inForce[0]).to.equal('alpha=1 beta=1 gamma=1')
    expect(group.nodes[0].catchUp.source?.kind).to.equal('peers')
  })

  it('does not count a store that answers in part', async () => {
    const node = group.add()
    node.way.faults.set({ readsPerSecond: 3 })
    node.start()
    await group.run(200)
    expect(node.catchUp.source).to.equal(undefined)
    node.way.faults.clear()
    await group.run(5_000)
    expect(node.catchUp.source).to.deep.equal({ kind: 'store' })
  })

  it('resolves only after the snapshot holds everything', async () => {
    const node = group.add()
    let inForce = ''
    node.start()
    node.catchUp.completed.then(() => { inForce = node.inForce })
    await group.run(2_000)
    expect(inForce).to.equal('alpha=1 beta=1 gamma=1')
  })
})
