/** Several nodes together: joins, killed and paused processes, false suspicions, network partitions and simultaneous starts. */
import { expect } from 'chai'
import { FLEET_SERVICE, MemoryFleet, records, type IMemoryNode } from '../../testing/membership/MemoryFleet.js'
import type { EndpointId, FailureDomain, NodeId } from '../common/Types.js'

/** All nodes stop offering a dead or draining endpoint within this time. */
const STOP_LIMIT_MS = 3_000
/** All views are equal again this long after a partition healed or a process resumed. */
const HEAL_LIMIT_MS = 5_000
const JOIN_LIMIT_MS = 30_000

describe('MembershipStack', () => {
  let fleet: MemoryFleet

  afterEach(async () => { await fleet.stop() })

  /** Starts nodes in failure domains of equal size and waits until their views are equal. */
  async function form (seed: number, domains: number, size: number): Promise<void> {
    fleet = new MemoryFleet(seed)
    for (let domain = 0; domain < domains; domain++) await fleet.add(domain, size)
    expect(await fleet.advanceUntil(() => fleet.areViewsEqual(), JOIN_LIMIT_MS), 'joined').to.be.a('number')
    // By then the members objects are written and unneeded links are closed.
    await fleet.clock.advance(3_000)
  }

  function endpointNodes (node: IMemoryNode): readonly NodeId[] {
    return node.membership.endpoints(FLEET_SERVICE).map((endpoint) => endpoint.node)
  }

  function reachableNodes (node: IMemoryNode): readonly NodeId[] {
    return node.membership.endpoints(FLEET_SERVICE).filter((endpoint) => endpoint.isReachable).map((endpoint) => endpoint.node)
  }

  function countEvents (name: string): number {
    return fleet.nodes.flatMap((node) => node.log.events).filter((event) => event.name === name).length
  }

  it('removes the endpoints of killed nodes on all nodes in time, also when most nodes of a failure domain are killed at once', async () => {
    await form(2, 3, 5)
    const killed = fleet.nodes.slice(0, 4)
    const ids = killed.map((node) => node.membership.self.id)
    for (const node of killed) await fleet.kill(node)
    const duration = await fleet.advanceUntil(() => fleet.nodes.every((node) => !endpointNodes(node).some((id) => ids.includes(id))),
      STOP_LIMIT_MS)
    expect(duration, 'endpoints removed').to.be.a('number')
    expect(fleet.areViewsEqual()).to.equal(true)
  })

  it('removes a draining endpoint on all nodes in time, and suspects no node after a planned leave', async () => {
    await form(3, 3, 3)
    const [leaving] = fleet.nodes as [IMemoryNode]
    const { id } = leaving.membership.self
    leaving.membership.setEndpointState(`${leaving.address}/0` as EndpointId, 'draining', fleet.clock.now())
    expect(await fleet.advanceUntil(() => fleet.nodes.every((node) => !endpointNodes(node).includes(id)), STOP_LIMIT_MS), 'drained').to.be.a('number')
    const left = leaving.membership.leave(fleet.clock.now())
    await fleet.clock.advance(200)
    await left
    await fleet.kill(leaving)
    await fleet.clock.advance(4_000)
    expect(fleet.nodes.every((node) => node.membership.members.get(id)?.state === 'left')).to.equal(true)
    expect(countEvents('member-suspected')).to.equal(0)
  })

  it('refutes a false suspicion and a false death', async () => {
    await form(4, 2, 4)
    const [accuser, accused] = fleet.nodes as [IMemoryNode, IMemoryNode]
    const { id } = accused.membership.self
    accuser.membership.suspect(id, fleet.clock.now())
    expect(reachableNodes(accuser)).not.to.include(id)
    await fleet.clock.advance(1_500)
    accuser.membership.declareDead(id, fleet.clock.now())
    expect(endpointNodes(accuser)).not.to.include(id)
    await fleet.clock.advance(1_500)
    expect(fleet.areViewsEqual()).to.equal(true)
    expect(accused.membership.self.incarnation).to.equal(2)
    expect(accused.log.events.filter((event) => event.name === 'suspicion-of-self-refuted')).to.have.length(2)
  })

  it('updates the stale view of a paused process after it resumes', async () => {
    await form(5, 2, 5)
    const [paused, killed, drained] = fleet.nodes as [IMemoryNode, IMemoryNode, IMemoryNode]
    fleet.network.pause(paused.address)
    const others = fleet.nodes.filter((node) => node !== paused)
    const duration = await fleet.advanceUntil(() => others.every((node) => !endpointNodes(node).includes(paused.membership.self.id)),
      STOP_LIMIT_MS)
    expect(duration, 'paused counts as dead').to.be.a('number')
    await fleet.kill(killed)
    drained.membership.setEndpointState(`${drained.address}/0` as EndpointId, 'draining', fleet.clock.now())
    await fleet.clock.advance(4_000)
    fleet.network.resume(paused.address)
    expect(await fleet.advanceUntil(() => fleet.areViewsEqual(), HEAL_LIMIT_MS), 'agreed').to.be.a('number')
    expect(endpointNodes(paused)).not.to.include(drained.membership.self.id)
    expect(paused.membership.self.incarnation).to.be.greaterThan(0)
  })

  it('marks a partitioned failure domain unreachable, keeps its endpoints, declares none dead, and converges after healing', async () => {
    await form(6, 3, 3)
    const partitioned = fleet.nodes.filter((node) => node.membership.self.failureDomain === 'domain-2')
    const others = fleet.nodes.filter((node) => !partitioned.includes(node))
    for (const domain of ['domain-0', 'domain-1']) fleet.network.cut(domain as FailureDomain, 'domain-2' as FailureDomain)
    const ids = partitioned.map((node) => node.membership.self.id)
    const isMarked = (node: IMemoryNode): boolean => !reachableNodes(node).some((id) => ids.includes(id) !== partitioned.includes(node))
    expect(await fleet.advanceUntil(() => fleet.nodes.every(isMarked), 10_000), 'marked').to.be.a('number')
    const [changed, killed] = partitioned as [IMemoryNode, IMemoryNode]
    changed.membership.setEndpointState(`${changed.address}/0` as EndpointId, 'draining', fleet.clock.now())
    await fleet.kill(killed)
    await fleet.kill(others[0] as IMemoryNode)
    await fleet.clock.advance(6_000)
    expect(others.slice(1).every((node) => endpointNodes(node).filter((id) => ids.includes(id)).length === 3), 'kept').to.equal(true)
    fleet.network.healAll()
    const hasHealed = (): boolean => fleet.areViewsEqual() && fleet.nodes.every((node) => reachableNodes(node).length === 6)
    expect(await fleet.advanceUntil(hasHealed, HEAL_LIMIT_MS), 'agreed').to.be.a('number')
  })

  it('propagates changes through a third failure domain while two are partitioned from each other', async () => {
    await form(7, 3, 2)
    fleet.network.cut('domain-0' as FailureDomain, 'domain-1' as FailureDomain)
    await fleet.clock.advance(5_000)
    const [changed] = fleet.nodes as [IMemoryNode]
    changed.membership.setEndpointState(`${changed.address}/0` as EndpointId, 'draining', fleet.clock.now())
    const isKnown = (): boolean => fleet.nodes.every((node) => !endpointNodes(node).includes(changed.membership.self.id))
    expect(await fleet.advanceUntil(isKnown, 15_000), 'known').to.be.a('number')
  })

  it('recovers when all nodes of a failure domain are killed and new processes start at the same addresses', async () => {
    await form(8, 3, 4)
    const killed = fleet.nodes.filter((node) => node.membership.self.failureDomain === 'domain-1')
    for (const node of killed) await fleet.kill(node)
    await fleet.clock.advance(5_000)
    const isMarked = fleet.nodes.every((node) => reachableNodes(node).length === 8 && endpointNodes(node).length === 12)
    expect(isMarked, 'unreachable, not emptied').to.equal(true)
    for (const node of killed) await fleet.replace(node)
    expect(await fleet.advanceUntil(() => fleet.areViewsEqual(), JOIN_LIMIT_MS), 'agreed').to.be.a('number')
  })

  it('declares the killed nodes of a failure domain dead when it restarts with fewer nodes at other addresses', async () => {
    await form(9, 2, 5)
    for (const node of fleet.nodes.filter((candidate) => candidate.membership.self.failureDomain === 'domain-1')) await fleet.kill(node)
    await fleet.clock.advance(5_000)
    await fleet.add(1, 2)
    expect(await fleet.advanceUntil(() => fleet.areViewsEqual(), JOIN_LIMIT_MS), 'agreed').to.be.a('number')
  })

  it('joins through configured peers while the store is unavailable, and merges separately formed parts once it is available', async () => {
    fleet = new MemoryFleet(10)
    fleet.store.isDown = true
    const parts = [
      await fleet.add(0, 3, { bootstrap: { peers: ['10.0.0.0:7000'] } }),
      await fleet.add(0, 3, { bootstrap: { peers: ['10.0.0.3:7000'] } })
    ]
    const arePartsFormed = (): boolean => parts.every((part) => fleet.areViewsEqual(part))
    expect(await fleet.advanceUntil(arePartsFormed, JOIN_LIMIT_MS), 'two parts').to.be.a('number')
    fleet.store.isDown = false
    expect(await fleet.advanceUntil(() => fleet.areViewsEqual(), JOIN_LIMIT_MS), 'one').to.be.a('number')
  })

  it('assigns the source readers of a region to two nodes in different failure domains, and replaces one that is killed', async () => {
    await form(12, 4, 3)
    const [first] = fleet.nodes as [IMemoryNode]
    const readers = first.roles.holders('source-reader', 'domain-0' as FailureDomain)
    const domains = readers.map((id) => first.membership.members.get(id)?.failureDomain).sort()
    expect(domains).to.deep.equal(['domain-0', 'domain-1'])
    const reader = fleet.nodes.find((node) => node.membership.self.id === readers[0]) as IMemoryNode
    await fleet.kill(reader)
    await fleet.clock.advance(STOP_LIMIT_MS)
    const views = fleet.nodes.map((node) => node.roles.holders('source-reader', 'domain-1' as FailureDomain).join())
    expect(new Set(views).size).to.equal(1)
    expect(views[0]).not.to.include(reader.membership.self.id)
  })

  it('delivers a broadcast exactly once to every node of all failure domains, also to one that joins shortly afterwards', async () => {
    await form(13, 3, 4)
    const received = new Map<string, number>()
    const count = (node: IMemoryNode): void => {
      node.broadcast.onMessage(({ topic }) => {
        if (topic === 'quarantine') received.set(node.address, (received.get(node.address) ?? 0) + 1)
      })
    }
    fleet.nodes.forEach(count)
    const publisher = fleet.nodes[0] as IMemoryNode
    publisher.broadcast.publish('quarantine', Buffer.from('fingerprint'))
    await fleet.clock.advance(1_000)
    const [joined] = await fleet.add(1, 1) as [IMemoryNode]
    count(joined)
    await fleet.clock.advance(4_000)
    expect(received.size).to.equal(fleet.nodes.length - 1)
    expect([...received.values()].every((times) => times === 1)).to.equal(true)
    expect(records(joined).length).to.equal(fleet.nodes.length)
  })
})
